"""Estimates of what a request costs, from the requests that have ended.

A scheduler expects the next request to compute as many tokens as the recent
ones, and the next block to take as long over the links to the stores.
"""

from landingspool.decisions import identity
from landingspool.decisions import placement

COMPUTE_SMOOTHING = 0.05
FETCH_SMOOTHING = 0.3
FETCH_RECOVERY = 0.003


class CostEstimates:
    """Estimates of one scheduler.

    Attributes
    ----------
    compute_tokens : float
        Mean number of prompt tokens computed for a request.
    fetch_s_per_block : float
        Expected seconds to fetch one block.

    >>> estimates = CostEstimates()
    >>> before = estimates.fetch_s_per_block
    >>> estimates.record_fetch(2, 10 * before)
    >>> estimates.fetch_s_per_block > before
    True
    """

    def __init__(self):
        self.compute_tokens = float(identity.PIECE_TOKENS)
        self.fetch_s_per_block = placement.FETCH_S_PER_BLOCK

    def record_compute(self, tokens):
        """Update the estimate from a request that computed some tokens."""
        self.compute_tokens += COMPUTE_SMOOTHING * (
            tokens - self.compute_tokens
        )

    def record_fetch(self, blocks, seconds):
        """Update the estimate from blocks that took some seconds."""
        self.fetch_s_per_block += FETCH_SMOOTHING * (
            seconds / blocks - self.fetch_s_per_block
        )

    def recover(self):
        """Move the fetch time slowly back to its initial value.

        Otherwise no request would fetch over a link once it was slow, and no
        new measurement would show that it has become fast.
        """
        recovery = placement.FETCH_S_PER_BLOCK - self.fetch_s_per_block
        self.fetch_s_per_block += FETCH_RECOVERY * recovery
