"""Errors shared by the clients of the platform's store."""

from primrosecross.domain import errors


def check_status(
    status: int, expected: tuple[int, ...], kind: str, name: str
) -> None:
    """Raises errors.StoreObjectError for an unexpected status."""
    if status not in expected:
        raise errors.StoreObjectError(
            f"the store returned status {status} for {kind}/{name}",
            remedy="check that the store's address is that of its object API",
        )


def conflict(kind: str, name: str) -> errors.StoreConflictError:
    """Returns the error of a conditional write whose version is stale."""
    return errors.StoreConflictError(
        f"{kind}/{name} has changed in the store",
        remedy="read it again and base the change on the new version",
    )


def unavailable(cause: object) -> errors.StoreUnavailableError:
    """Returns the error of a call that had no effect on the store."""
    return errors.StoreUnavailableError(
        f"the platform's store does not answer: {cause}",
        remedy="check the store and the network; owners continue to serve",
    )


def failed(method: str, cause: object) -> errors.StoreError:
    """Returns the error of a call that may have changed the store."""
    if method == "GET":
        return unavailable(cause)
    return errors.StoreResponseLostError(
        f"the result of a write is unknown: {cause}",
        remedy="read the object to check whether the write took effect",
    )


def about_another_object(method: str, name: str) -> errors.StoreError:
    """Returns the error of a response that is to an earlier call."""
    return failed(
        method, f"the response to a call for {name} is about another object"
    )
