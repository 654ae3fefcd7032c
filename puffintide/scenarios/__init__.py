"""Scripted scenarios.

A scenario runs every process on loopback, injects faults and records all messages between the processes.
"""
