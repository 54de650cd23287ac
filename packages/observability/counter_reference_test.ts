import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { renderCounterReference } from "./counter_reference.ts";

// The formatter pads the cells of tables and breaks lines.
function withoutSpace(text: string): string {
  return text.replaceAll(/\s+|-{3,}/g, "");
}

// Guards against a page that lacks a new error kind or retry reason.
test("docs/counters.md is current", () => {
  const path = new URL("../../docs/counters.md", import.meta.url);
  expect(withoutSpace(readFileSync(path, "utf8")))
    .toBe(withoutSpace(renderCounterReference()));
});
