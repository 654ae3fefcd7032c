"""Configuration files: INI parsed by configparser, validated by pydantic, all errors reported together."""
