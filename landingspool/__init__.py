"""Serving system for language-model requests that reuse cached context."""

VERSION = '0.1.0'
