"""The operator's file: settings of what an installation turns on beside the platform's router, in HCL.

    from brookhinge.operator import read_file
    settings = read_file("deploy/operator.hcl")
    settings.box["s-1"].listen          # ("127.0.0.1", 9001)

`OperatorError` names block, key, line and what was expected. A block that is not there is not on, and nothing
of its subsystem is imported. Sizes are MB, times seconds, addresses (host, port).
"""

from brookhinge.operator.hcl import OperatorError
from brookhinge.operator.schema import read_file, read_text
from brookhinge.operator.settings import OperatorSettings

__all__ = ["OperatorError", "OperatorSettings", "read_file", "read_text"]
