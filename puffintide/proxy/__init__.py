"""The proxy does exactly what its tables say. Pure cores: choice, tables, admit, tries, sums, engine. Then I/O."""
