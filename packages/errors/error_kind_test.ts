import { expect, test } from "vitest";
import { DeckError } from "./deck_error.ts";
import { ERROR_DETAILS, ERROR_KINDS, isErrorKind } from "./error_kind.ts";

// Guards against a retryable kind without a wait, which makes callers retry at
// once.
test("retryable kinds other than permit_required have a wait", () => {
  const withoutWait = ERROR_KINDS.filter((kind) =>
    ERROR_DETAILS[kind].retryable && ERROR_DETAILS[kind].retryAfterMs === 0
  );
  expect(withoutWait).toEqual(["permit_required"]);
});

// Guards against texts that break the rule for error messages.
test("texts are sentences without a full stop", () => {
  ERROR_KINDS.forEach((kind) =>
    expect(ERROR_DETAILS[kind].text).toMatch(/^[A-Z].*[^.]$/)
  );
});

// Guards against accepting inherited property names as kinds.
test("isErrorKind refuses inherited names", () => {
  expect(isErrorKind("toString")).toBe(false);
  expect(isErrorKind("queue_full")).toBe(true);
});

// Guards against an explicit execution status that is replaced by the default
// of the kind.
test("DeckError keeps an explicit execution status", () => {
  expect(new DeckError("connection_lost").run).toBe("unknown");
  expect(new DeckError("connection_lost", { run: "no" }).run).toBe("no");
});
