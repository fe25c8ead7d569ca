"""Linear fits of measured series."""

import dataclasses


@dataclasses.dataclass
class Fit:
    intercept: float
    slope: float
    # Largest absolute residual.
    error: float

    def at(self, size):
        return self.intercept + self.slope * size


def fit_line(points):
    """Least-squares line through [(size, value)] with at least three different sizes."""
    if len({size for size, _ in points}) < 3:
        raise ValueError("a fit needs at least three sizes")
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    error = max(abs(y - (intercept + slope * x)) for x, y in points)
    return Fit(intercept, slope, error)
