import { expect, test } from "vitest";
import { WordReader, WordWriter } from "./word_table.ts";

test("a word that comes again becomes a number", () => {
  const writer = new WordWriter();
  const packed = ["host", "host", "host"].map((word) => writer.pack(word));
  expect(packed).toEqual(["host", ["host"], 0]);
});

// Guards against sides that forget in another order and mix up header fields.
test("both sides agree while words are replaced", () => {
  const writer = new WordWriter();
  const reader = new WordReader();
  const words = Array.from(
    { length: 20_000 },
    (_, index) => `w${(index * index) % 701}`,
  );
  const read = words.map((word) => reader.unpack(writer.pack(word)));
  expect(read).toEqual(words);
});

test("long words are not remembered", () => {
  const writer = new WordWriter();
  const word = "x".repeat(201);
  writer.pack(word);
  expect(writer.pack(word)).toBe(word);
});

test("a number without a word is an error", () => {
  expect(() => new WordReader().unpack(7)).toThrow("Unknown word 7");
});
