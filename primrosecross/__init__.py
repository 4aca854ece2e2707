"""Router for servers that each hold sole ownership of their keys."""

import os

# gRPC reads this when it is first imported; its own lines are not JSON.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")


__version__ = "0.1.0"
