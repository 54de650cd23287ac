/** Steady loads of clients. */
import { setTimeout as sleep } from "node:timers/promises";

/**
 * Sends a request at regular intervals, whatever becomes of the earlier ones.
 *
 * @param send Sends one request and resolves to its outcome.
 * @param intervalMs Time between two requests, in milliseconds.
 * @returns Function that ends the load and resolves when all have an outcome.
 */
export function startLoad(send, intervalMs) {
  const sent = [];
  let isOver = false;
  const loop = async () => {
    const startedAt = performance.now();
    for (let count = 1; !isOver; count++) {
      sent.push(send());
      await sleep(
        Math.max(0, startedAt + count * intervalMs - performance.now()),
      );
    }
  };
  const looping = loop();
  return async () => {
    isOver = true;
    await looping;
    return await Promise.all(sent);
  };
}

/** Returns how many of the outcomes are successes, as a share. */
export function servedShare(outcomes) {
  const served = outcomes.filter(({ status }) => status === 200);
  return served.length / Math.max(1, outcomes.length);
}
