"""Losing and regaining a zone: what is judged, what may spill, how a return grows."""
