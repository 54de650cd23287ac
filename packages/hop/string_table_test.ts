import { expect, test } from "vitest";
import { StringTableDecoder, StringTableEncoder } from "./string_table.ts";

test("a string that recurs becomes a number", () => {
  const encoder = new StringTableEncoder();
  const packed = ["host", "host", "host"].map((text) => encoder.pack(text));
  expect(packed).toEqual(["host", ["host"], 0]);
});

// Guards against tables that replace their strings in different orders, which
// would mix up header fields.
test("both tables stay equal while strings are replaced", () => {
  const encoder = new StringTableEncoder();
  const decoder = new StringTableDecoder();
  const texts = Array.from(
    { length: 20_000 },
    (_, index) => `w${(index * index) % 701}`,
  );
  const read = texts.map((text) => decoder.unpack(encoder.pack(text)));
  expect(read).toEqual(texts);
});

test("long strings are not stored in the table", () => {
  const encoder = new StringTableEncoder();
  const text = "x".repeat(201);
  encoder.pack(text);
  expect(encoder.pack(text)).toBe(text);
});

test("a number that refers to no string is an error", () => {
  expect(() => new StringTableDecoder().unpack(7)).toThrow(
    "Unknown string number 7",
  );
});
