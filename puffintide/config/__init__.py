"""Configuration: INI read by configparser, checked by pydantic, all errors told at once."""
