"""Checks that the tests and modules named in the docs exist."""

import importlib
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parents[1]
_TEST = re.compile(r"`(test_\w+)(?:\.(\w+))?`")
_MODULE = re.compile(r"`((?:domain|adapters|platform)/(?:\w+/)?)([\w, ]+)`")
MIN_NAMED = 20


class PromisesTest(unittest.TestCase):
    """docs/promises.md names tests by module and class."""

    def test_every_named_test_exists(self):
        text = (ROOT / "docs" / "promises.md").read_text()
        named = _TEST.findall(text)
        self.assertGreater(len(named), MIN_NAMED)
        for module_name, class_name in named:
            with self.subTest(module=module_name, name=class_name):
                module = importlib.import_module(f"tests.{module_name}")
                if class_name:
                    self.assertTrue(hasattr(module, class_name))


class PlatformPageTest(unittest.TestCase):
    """docs/platform.md lists the modules of each layer."""

    def test_every_named_module_exists(self):
        text = (ROOT / "docs" / "platform.md").read_text()
        package = ROOT / "primrosecross"
        existing_modules = {
            str(path.relative_to(package).with_suffix(""))
            for path in package.rglob("*.py")
        }
        named = {
            folder + name.strip()
            for folder, names in _MODULE.findall(text)
            for name in names.split(",")
        }
        self.assertGreater(len(named), MIN_NAMED)
        self.assertEqual(named - existing_modules, set())
