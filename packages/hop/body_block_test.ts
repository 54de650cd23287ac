import { afterEach, expect, test, vi } from "vitest";
import { allocateBody, copyToBody, freeBody } from "./mod.ts";

const MEGABYTE = 1024 * 1024;

afterEach(() => vi.unstubAllGlobals());

const residentMegabytes = () => process.memoryUsage().rss / MEGABYTE;

// Guards against memory of bodies that the allocator keeps after they have left.
test("the pages of long bodies return to the system at once", () => {
  const bodies = Array.from(
    { length: 64 },
    () => allocateBody(4 * MEGABYTE).fill("x"),
  );
  const held = residentMegabytes();
  bodies.forEach(freeBody);
  expect(held - residentMegabytes()).toBeGreaterThan(200);
});

test("a short body stays as it is", () => {
  const body = allocateBody(10).fill("x");
  freeBody(body);
  expect(body.toString()).toBe("xxxxxxxxxx");
});

test("a long body is written and read like any other", () => {
  const text = "soup".repeat(100_000);
  const body = allocateBody(text.length);
  expect(copyToBody(Buffer.from(text), body, 0)).toBe(text.length);
  expect(body.toString("utf8")).toBe(text);
  expect(body.subarray(4, 8).toString("latin1")).toBe("soup");
});

// Guards against chunks that fill the memory before Node.js collects them.
test("chunks are collected as they are copied, and not one by one", () => {
  const collect = vi.fn();
  vi.stubGlobal("gc", collect);
  const block = allocateBody(64 * MEGABYTE);
  const chunk = Buffer.alloc(MEGABYTE);
  for (let index = 0; index < 64; index++) {
    copyToBody(chunk, block, index * MEGABYTE);
  }
  expect(collect.mock.calls.length).toBeGreaterThanOrEqual(4);
  expect(collect.mock.calls.length).toBeLessThanOrEqual(16);
  expect(collect).toHaveBeenCalledWith({ type: "minor" });
});
