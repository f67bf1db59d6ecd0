"""The simulator's wire: lines in, decoded calls out, and back."""
