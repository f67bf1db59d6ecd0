"""The operator's file: HCL settings of the optional subsystems of an installation.

    from brookhinge.operator import read_file
    settings = read_file("deploy/operator.hcl")
    settings.box["s-1"].listen          # ("127.0.0.1", 9001)

The platform's router has its own configuration. A subsystem without a block in this file is off, and none of
its modules are imported. An `OperatorError` names the block, key and line and what was expected. Sizes are in
MB, times in seconds, addresses are (host, port).
"""

from brookhinge.operator.hcl import OperatorError
from brookhinge.operator.schema import read_file, read_text
from brookhinge.operator.settings import OperatorSettings

__all__ = ["OperatorError", "OperatorSettings", "read_file", "read_text"]
