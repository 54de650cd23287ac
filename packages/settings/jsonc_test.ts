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

// Guards against a report of the first issue only, or of wrong positions.
test("all issues are reported with line and column", () => {
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

// Guards against syntax errors without a position, and against reports of
// fields that are only missing because the parser skipped them.
test("syntax errors are reported together with issues of the schema", () => {
  expect(issues('{\n  "parts": [1],\n  size: 1\n}')).toEqual([
    "f:2:13: parts[0]: Invalid input: expected object, received number",
    "f:3:3: The symbol is not valid in JSON",
    "f:3:7: A field name in quotes is expected",
    "f:4:1: A value is expected",
  ]);
  expect(issues("")).toEqual(["f:1:1: A value is expected"]);
});

// Guards against a stack overflow by a malicious document.
test("deep nesting is rejected", () => {
  expect(issues("[".repeat(100_000))).toEqual([
    "f:1:1: The document is nested deeper than 100 levels",
  ]);
  expect(issues(`{"size": 1, "parts": [{"name": "${"[".repeat(200)}"}]}`))
    .toEqual([]);
});
