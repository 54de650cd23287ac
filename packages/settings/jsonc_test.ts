import { expect, test } from "vitest";
import { z } from "zod";
import { formatIssue } from "./validation_issue.ts";
import { readJsonc } from "./jsonc.ts";

const schema = z.strictObject({
  size: z.int().min(1),
  parts: z.array(z.strictObject({ name: z.string() })).default([]),
});

function issues(text: string): readonly string[] {
  return readJsonc(text, schema).caseOf({
    Left: (found) => found.map((issue) => formatIssue("f", issue)),
    Right: () => [],
  });
}

// Guards against rejecting comments and trailing commas.
test("comments and trailing commas are accepted", () => {
  expect(readJsonc('{\n// one\n"size": 1, /* x */\n}', schema).extract())
    .toEqual({ size: 1, parts: [] });
});

// Guards against reports of the first fault only, or at the wrong place.
test("all faults are reported with line and column", () => {
  const text = '{\r\n  "size": 0,\n  "parts": [{ "nam": "x" }, 3],\n' +
    '  "odd-one": 1,\n  "size": 2\n}';
  expect(issues(text)).toEqual([
    "f:3:13: parts[0].name: The field is missing",
    "f:3:15: parts[0].nam: The field is not known",
    "f:3:29: parts[1]: Invalid input: expected object, received number",
    "f:4:3: odd-one: The field is not known",
    "f:5:3: size: The field is given more than once",
  ]);
});

// Guards against syntax faults without a place, and against missing fields
// that are only missing because the parser skipped them.
test("syntax faults come with the schema's faults", () => {
  expect(issues('{\n  "parts": [1],\n  size: 1\n}')).toEqual([
    "f:2:13: parts[0]: Invalid input: expected object, received number",
    "f:3:3: The symbol is not valid in JSON",
    "f:3:7: A field name in quotes is expected",
    "f:4:1: A value is expected",
  ]);
  expect(issues("")).toEqual(["f:1:1: A value is expected"]);
});

// Guards against a stack overflow by a hostile document.
test("deep nesting is a fault", () => {
  expect(issues("[".repeat(100_000))).toEqual([
    "f:1:1: The document is nested deeper than 100 levels",
  ]);
  expect(issues(`{"size": 1, "parts": [{"name": "${"[".repeat(200)}"}]}`))
    .toEqual([]);
});
