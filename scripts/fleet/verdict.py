"""Checks the outcomes reported to callers against ledger and services."""

from collections import Counter, defaultdict

from load import LARGEST_RESERVE
from fleet import RUNS_OUT

OUT_OF_BUDGET = 402
SHOWN_IDS = 3


def is_order(record):
    return record["kind"] == "order"


def is_false_refusal(record, left_before_top_up):
    """Returns True for a rejection although the budget would have covered the
    request."""
    if record["ending"] != "refused":
        return False
    out = (record["status"] == OUT_OF_BUDGET and
           record["customer"] == RUNS_OUT and record["phase"] == "first")
    return not out or left_before_top_up >= LARGEST_RESERVE


class Verdict:
    """Compares the records of all phases with the final ledger and the
    execution counts."""

    def __init__(self, records, ledger, runs, left_before_top_up):
        self.records = records
        self.ledger = ledger
        self.runs = runs
        self.left = left_before_top_up
        self.broken = []
        for budget in ledger.paid:
            if ledger.spent[budget] > ledger.paid[budget]:
                self.broken.append(f"{budget} spent {ledger.spent[budget]} of "
                                   f"{ledger.paid[budget]} paid tokens")
        self.doubled = (self.find(self.ran_twice, "an order ran twice") +
                        self.find(self.billed_twice, "billed twice"))
        self.lost = self.find(self.is_lost, "told completed, in no bill or "
                                            "never ran")
        self.denied = self.find(self.is_denied, "told not-run and ran")
        self.misbilled = self.find(self.is_misbilled,
                                   "billed other tokens than it got")
        self.wrong = self.find(lambda one: one["ending"] == "wrong",
                               "got a wrong answer")
        self.cut = self.find(lambda one: one["ending"] == "cut",
                             "never got its whole answer")
        self.cut_by_stop = self.find(
            lambda one: one["phase"] != "kill" and one["cut_attempts"] > 0,
            "cut off although no router died")

    def find(self, holds, complaint):
        """Returns counts by customer and adds each group to the violations."""
        found = [one for one in self.records if holds(one)]
        groups = defaultdict(list)
        for one in found:
            group = one["customer"], one["kind"], one["phase"]
            groups[group].append(one["request_id"] or one["key"])
        for (customer, kind, phase), ids in groups.items():
            self.broken.append(
                f"{len(ids)} x {customer}, {kind}, phase {phase}: {complaint} "
                f"({', '.join(ids[:SHOWN_IDS])})")
        return Counter(one["customer"] for one in found)

    def bills(self, record):
        return self.ledger.by_request.get(record["request_id"], [])

    def ran_twice(self, record):
        return self.runs[record["request_id"]] > 1

    def billed_twice(self, record):
        return len(self.bills(record)) > 1

    def is_lost(self, record):
        if record["outcome"] != "completed":
            return False
        never_ran = is_order(record) and self.runs[record["request_id"]] == 0
        return never_ran or not self.bills(record)

    def is_denied(self, record):
        if record["outcome"] != "not-run" or not record["request_id"]:
            return False
        billed = sum(bill["tokens"] for bill in self.bills(record))
        return billed > 0 or self.runs[record["request_id"]] > 0

    def is_misbilled(self, record):
        if is_order(record) or record["ending"] != "completed":
            return False
        return any((bill["prompt_tokens"], bill["completion_tokens"]) !=
                   (record["prompt_tokens"], record["completion_tokens"])
                   for bill in self.bills(record))

    def rows(self):
        names = sorted({one["customer"] for one in self.records})
        return [self.row(name) for name in names]

    def row(self, name):
        mine = [one for one in self.records if one["customer"] == name]
        endings = Counter(one["ending"] for one in mine)
        billed, paid = self.ledger.spent[name], self.ledger.paid[name]
        return {
            "customer": name, "requests": len(mine),
            "completed": endings["completed"], "refused": endings["refused"],
            "unanswered": endings["unanswered"], "billed": billed, "paid": paid,
            "held": self.ledger.held[name], "overspend": max(0, billed - paid),
            "false refusals": sum(is_false_refusal(one, self.left)
                                  for one in mine),
            "told unknown": sum(one["outcome"] == "unknown" for one in mine),
            "doubled": self.doubled[name],
            "lost": self.lost[name] + self.wrong[name] + self.cut[name]}

    def refusals(self):
        """Returns the counts of final rejections by (customer, code)."""
        return Counter((one["customer"], f"{one['status']} {one['code']}")
                       for one in self.records if one["ending"] == "refused")


def to_table(rows):
    heads = list(rows[0])
    cells = [heads] + [[str(value) for value in row.values()] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(heads))]
    return "\n".join(
        "  ".join([line[0].ljust(widths[0])] +
                  [cell.rjust(width)
                   for cell, width in zip(line[1:], widths[1:])])
        for line in cells)
