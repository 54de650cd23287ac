import fc from "fast-check";
import { expect, test } from "vitest";
import { BodyBuffer } from "./mod.ts";

/** Seed of the generated chunks. */
const SEED = 20261206;

test("the bytes are those of the chunks, in order", () => {
  fc.assert(
    fc.property(
      fc.array(fc.uint8Array({ maxLength: 9_000 }), { maxLength: 40 }),
      fc.boolean(),
      (chunks, isLengthKnown) => {
        const expected = Buffer.concat(chunks);
        const maxLength = expected.length;
        const body = new BodyBuffer(
          isLengthKnown ? { length: maxLength, maxLength } : { maxLength },
        );
        chunks.forEach((chunk) => body.add(Buffer.from(chunk)));
        expect(body.length).toBe(expected.length);
        expect(body.bytes.equals(expected)).toBe(true);
      },
    ),
    { seed: SEED, numRuns: 200 },
  );
});

// Guards against a process that ends by its heap, as each chunk of a body was kept
// as an object.
// Guards against chunks that are lost where parts become one block.
test("long bodies are the bytes of their chunks", () => {
  const total = 9_000_000;
  const expected = Buffer.alloc(total, "0123456789ABCDEFG");
  for (const size of [700, 20_000, 1_000_000]) {
    [{ maxLength: 2 * total }, { maxLength: total }].forEach((options) => {
      const body = new BodyBuffer(options);
      for (let at = 0; at < total; at += size) {
        body.add(Buffer.from(expected.subarray(at, at + size)));
      }
      expect(body.bytes.equals(expected)).toBe(true);
    });
  }
});

test("the memory of a body follows its bytes", () => {
  const body = new BodyBuffer({ maxLength: 64 * 1024 * 1024 });
  const chunk = Buffer.alloc(1, "x");
  for (let count = 0; count < 500_000; count++) body.add(Buffer.from(chunk));
  // A chunk that is kept takes more than 90 bytes of the heap.
  expect(body.bytes.buffer.byteLength).toBeLessThan(2 * 500_000);
});

test("a body that is longer than stated is an error", () => {
  const body = new BodyBuffer({ length: 3, maxLength: 10 });
  body.add(Buffer.from("ab"));
  expect(() => body.add(Buffer.from("cd"))).toThrow(RangeError);
  expect(body.bytes.toString()).toBe("ab");
});
