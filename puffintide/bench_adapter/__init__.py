"""The adapter that lets a drill (the bench) feed the decision module and act for it."""
