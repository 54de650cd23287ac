import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import { IdleTimeout } from "./_idle_timeout.ts";
import { WorkerConnections, type WorkerResult } from "./mod.ts";
import { testAccount } from "./_test_account.ts";
import {
  RawWorker,
  TEST_NAMES,
  testCall,
  validAnswer,
} from "./_test_worker.ts";

/** Time after which the worker closes idle connections, in milliseconds. */
const CLOSE_AFTER_MS = 400;

/** Idle time from which the close crosses a call, in milliseconds. */
const CROSSES_AFTER_MS = 320;

/** Time between two calls, in milliseconds. */
const PAUSE_MS = 350;

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).forEach((close) => close()));

// Guards against calls that are lost, since they are sent on connections that the
// worker is about to close and has named no time for.
test("calls do not cross the close of idle connections", async () => {
  const answeredAt = new WeakMap<object, number>();
  let closed = 0;
  const worker = new RawWorker(({ requestId, socket }) => {
    const idleMs = performance.now() - (answeredAt.get(socket) ?? Infinity);
    if (idleMs > CROSSES_AFTER_MS) return void socket.destroy();
    socket.write(validAnswer(requestId));
    answeredAt.set(socket, performance.now());
    socket.setTimeout(CLOSE_AFTER_MS, () => {
      closed++;
      socket.destroy();
    });
  });
  const connections = new WorkerConnections({
    address: await worker.listen(),
    names: TEST_NAMES,
    account: testAccount(1_000_000),
  });
  cleanups.push(() => connections.close(), () => worker.close());
  const send = (requestId: string) =>
    new Promise<WorkerResult>((resolve) =>
      connections.send(
        testCall({ requestId, method: "POST", isIdempotent: false }),
        resolve,
      )
    );
  await send("first");
  await expect.poll(() => closed).toBe(1);
  const kinds: string[] = [];
  for (let index = 0; index < 6; index++) {
    kinds.push((await send(`r${index}`)).kind);
    await sleep(PAUSE_MS);
  }
  expect(kinds).toEqual(Array(6).fill("answer"));
});

test("a short time is forgotten when connections live longer", () => {
  const timeout = new IdleTimeout();
  expect(timeout.allows(3_000)).toBe(true);
  timeout.recordClose(100);
  timeout.recordClose(150);
  expect([timeout.allows(60), timeout.allows(90)]).toEqual([true, false]);
  timeout.recordOpen(120);
  expect(timeout.allows(90)).toBe(false);
  timeout.recordOpen(2_000);
  expect(timeout.allows(1_000)).toBe(true);
});
