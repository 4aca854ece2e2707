"""Tests."""

from gevent import monkey

monkey.patch_all()
