"""Actual bills and executions, read from the platform and the services."""

import json
from collections import Counter, defaultdict

from processes import Failure, call

PAGE = 1000


def scan(platform, prefix):
    """Returns all rows under `prefix` as pairs of key and decoded value."""
    rows, after = [], ""
    while True:
        status, page = call("POST", platform, "/table/scan",
                            {"prefix": prefix, "after": after, "limit": PAGE})
        if status != 200:
            raise Failure(f"the table cannot be read ({status})")
        rows += [(row["key"], json.loads(row["value"])) for row in page["rows"]]
        if len(page["rows"]) < PAGE:
            return rows
        after = page["rows"][-1]["key"]


class Ledger:
    """Snapshot of all bills."""

    def __init__(self, platform):
        self.bills = [bill for _, batch in scan(platform, "ledger/")
                      for bill in batch["bills"]]
        self.spent = Counter()
        self.by_request = defaultdict(list)
        for bill in self.bills:
            self.spent[bill["budget"]] += bill["tokens"]
            self.by_request[bill["request"]].append(bill)
        self.paid = {key.removeprefix("budget/"): row["paid"]
                     for key, row in scan(platform, "budget/")}
        self.held = Counter()
        for key, row in scan(platform, "held/"):
            if not row["released"]:
                self.held[key.split("/")[1]] += row["tokens"]


def executions(addresses):
    """Returns the executions of each order, summed over all plain services."""
    runs = Counter()
    for address in addresses:
        status, counted = call("GET", address, "/executions")
        if status != 200:
            raise Failure(f"the service at {address} says {status}")
        runs.update(counted)
    return runs
