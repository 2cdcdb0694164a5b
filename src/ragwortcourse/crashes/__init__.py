"""Requests, and parts of prompts, that crash the targets that run them."""
