import { afterEach, expect, test, vi } from "vitest";
import { MemoryAccount, memoryLimits } from "@oleanderdeck/serving";
import { MemoryReturn } from "./_memory_return.ts";

const MEGABYTE = 1024 * 1024;

afterEach(() => vi.unstubAllGlobals());

// Guards against a process that keeps the memory of a burst, as an idle Node.js
// collects nothing.
test("memory is collected after large bodies, and not after small ones", () => {
  const collect = vi.fn();
  vi.stubGlobal("gc", collect);
  const account = new MemoryAccount(() => memoryLimits(350 * MEGABYTE));
  let time = 0;
  const memoryReturn = new MemoryReturn(account, () => time);
  const hold = (bytes: number) => {
    const reservation = account.open("client_bodies");
    expect(reservation.grow(bytes)).toBe(true);
    return reservation;
  };
  for (let count = 0; count < 1_000; count++) hold(60_000).close();
  memoryReturn.check();
  expect(collect).not.toHaveBeenCalled();
  const others = hold(MEGABYTE);
  hold(20 * MEGABYTE).close();
  memoryReturn.check();
  expect(collect).not.toHaveBeenCalled();
  hold(20 * MEGABYTE).close();
  memoryReturn.check();
  expect(collect).toHaveBeenCalledTimes(1);
  account.open("kept_answers").grow(1_000);
  hold(5 * MEGABYTE).close();
  others.close();
  memoryReturn.check();
  // Each collection holds the process up.
  expect(collect).toHaveBeenCalledTimes(1);
  time += 2_000;
  memoryReturn.check();
  memoryReturn.check();
  expect(collect).toHaveBeenCalledTimes(2);
});
