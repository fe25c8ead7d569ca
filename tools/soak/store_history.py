"""What the operator and the workers of a soak run wrote to the store, and what a return from a copy lost of it."""

import bisect


class Write:
    """One acknowledged write of a configuration (`key` is its version) or of a worker's state (`key` is its index)."""

    def __init__(self, key, state, begun_at, acked_at):
        self.key = key
        self.state = state
        self.begun_at = begun_at
        self.acked_at = acked_at
        # When the store went away, if it came back from a copy without this write.
        self.lost_at = None


class StoreHistory:
    """Grows while the run goes on; the ledger gets it at the end."""

    def __init__(self, nodes):
        # Service of each route by version, None for a route that the version lacks; the first version is 1.
        self.versions = {}
        self.configurations = []
        # States "ready", "draining" and "gone" of workers.
        self.entries = []
        # (from, to, kind): "return" or "down"; `to` is None until it is over.
        self.disturbances = []
        # Start times of the processes of each node.
        self.starts = [[] for _ in range(nodes)]

    def begin_disturbance(self, kind, now):
        self.disturbances.append([now, None, kind])
        return self.disturbances[-1]

    def lose_writes(self, copied_at, away_at):
        for write in self.configurations + self.entries:
            if write.lost_at is None and write.acked_at > copied_at:
                write.lost_at = away_at

    def process_start(self, node, at):
        """When the process that a node had at this time was started."""
        index = bisect.bisect_right(self.starts[node], at)
        return self.starts[node][index - 1] if index else float("-inf")

    def newest_version(self, at):
        """The newest version whose write had begun."""
        return max((write.key for write in self.configurations if write.begun_at <= at), default=0)

    def has_version(self, version, node, at, apply_s):
        """Whether a write of the version was there for `apply_s`: still at this time, or until a return lost it and for
        the process that the node has. Without a node, a lost write does not count."""
        for write in self.configurations:
            if write.key != version or write.acked_at + apply_s > at:
                continue
            if write.lost_at is None or write.lost_at > at:
                return True
            if (node is not None and write.acked_at + apply_s <= write.lost_at and
                    self.process_start(node, at) <= write.lost_at):
                return True
        return False
