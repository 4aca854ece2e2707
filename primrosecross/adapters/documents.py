"""Encoding of documents that other programs write."""

from typing import TypeVar

import msgspec

_Model = TypeVar("_Model")


def decode_json(content: bytes, model: type[_Model]) -> _Model:
    """Returns a JSON document as an instance of a msgspec model.

    Args:
        content: The document.
        model: Type with the bounds that the document must keep.

    Raises:
        ValueError: The document is malformed, does not match the model, or is
            nested more deeply than the interpreter's recursion limit.
    """
    try:
        return msgspec.json.decode(content, type=model)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error


def decode_toml(content: bytes, model: type[_Model]) -> _Model:
    """Returns a TOML document as an instance of a msgspec model.

    Args:
        content: The document.
        model: Type with the bounds that the document must keep.

    Raises:
        ValueError: As for decode_json; also for an integer of thousands of
            digits.
    """
    try:
        return msgspec.toml.decode(content, type=model)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error


def encode_json(value: object) -> bytes:
    """Returns a value as JSON.

    Raises:
        ValueError: The value is nested more deeply than the interpreter's
            recursion limit.
    """
    try:
        return msgspec.json.encode(value)
    except RecursionError as error:
        raise ValueError(str(error)) from error
