"""Serving system for language-model prompts that return after long gaps."""

VERSION = '0.1.0'
