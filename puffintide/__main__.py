"""Entry point of the command line: `python -m puffintide`."""

from puffintide.cli.main import cli

cli(prog_name="puffintide")
