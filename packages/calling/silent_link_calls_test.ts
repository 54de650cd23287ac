import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import type { Frame, Link } from "@oleanderdeck/hop";
import type { WorkerResult } from "@oleanderdeck/serving";
import { PendingCalls } from "./_pending_calls.ts";
import { SilentLinkCalls } from "./_silent_link_calls.ts";
import { IDLE } from "./_test_channel.ts";

/** Latency target of the calls, in milliseconds. */
const LATENCY_TARGET_MS = 100;

/** Link that records its frames, and whether it is silent. */
interface FakeLink {
  isSuspect: boolean;
  readonly frames: Frame[];
  readonly link: Link;
}

/** Channel with open links, which are all to one process at first. */
function start() {
  const calls = new PendingCalls();
  const silentCalls = new SilentLinkCalls(calls);
  const results = new Map<number, WorkerResult>();
  const open = (linkId: string, processId?: string): FakeLink => {
    const frames: Frame[] = [];
    const fake = {
      isSuspect: true,
      frames,
      send: (frame: Frame) => void frames.push(frame),
    };
    const link = fake as unknown as Link;
    silentCalls.record(link, linkId, {
      kind: "hello",
      node: "n1",
      service: "menus",
      configurationVersion: 1,
      load: IDLE,
      ...(processId !== undefined && { processId }),
    });
    return Object.assign(fake, { link });
  };
  const add = (id: number, link: Link, isIdempotent = false) => {
    calls.add(id, {
      finish: (result) => results.set(id, result),
      isIdempotent,
      latencyTargetMs: LATENCY_TARGET_MS,
      link,
      send: (on) => on.send({ kind: "cancel", id }),
      isCancelled: false,
    });
    return calls.get(id)!;
  };
  return { add, calls, open, results, silentCalls };
}

const LOST = { error: "connection_lost", mayHaveRun: true };

test("calls are claimed that somebody waits for", () => {
  const { add, open, results, silentCalls } = start();
  const [a, b] = [open("a", "p"), open("b", "p")];
  add(1, a.link);
  add(2, a.link, true);
  add(3, a.link, true).isCancelled = true;
  expect(silentCalls.claim(a.link, b.link)).toBe(true);
  expect(b.frames).toEqual([{ kind: "claim", linkIds: ["a"], ids: [1, 2] }]);
  expect([...results]).toMatchObject([[3, LOST]]);
});

test("nothing is claimed from another process or an earlier release", () => {
  const { add, open, silentCalls } = start();
  const [a, b] = [open("a", "p"), open("b", "q")];
  const [old, next] = [open("c"), open("d")];
  add(1, a.link);
  add(2, old.link);
  expect(silentCalls.claim(a.link, b.link)).toBe(false);
  expect(silentCalls.claim(old.link, next.link)).toBe(false);
  expect([...b.frames, ...next.frames]).toEqual([]);
});

// Guards against calls that stay with a link whose claim was lost on a silent one.
test("a claim names earlier links until the peer has confirmed it", () => {
  const { add, open, silentCalls } = start();
  const [a, b] = [open("a", "p"), open("b", "p")];
  const [c, d] = [open("c", "p"), open("d", "p")];
  add(1, a.link);
  silentCalls.claim(a.link, b.link);
  silentCalls.claim(b.link, c.link);
  expect(c.frames).toMatchObject([{ linkIds: ["b", "a"], ids: [1] }]);
  silentCalls.receive({ kind: "claimed", missingIds: [] }, c.link);
  silentCalls.claim(c.link, d.link);
  expect(d.frames).toMatchObject([{ linkIds: ["c"], ids: [1] }]);
});

// Guards against a call that runs twice, because an old link tells it as missing.
test("a missing call is sent again on its own link only", () => {
  const { add, open, silentCalls } = start();
  const [a, b, c] = [open("a", "p"), open("b", "p"), open("c", "p")];
  add(1, a.link);
  silentCalls.claim(a.link, b.link);
  silentCalls.claim(b.link, c.link);
  silentCalls.receive({ kind: "claimed", missingIds: [1, 7] }, b.link);
  expect(b.frames.length + c.frames.length).toBe(2);
  silentCalls.receive({ kind: "claimed", missingIds: [1, 7] }, c.link);
  expect(c.frames.slice(1)).toEqual([{ kind: "cancel", id: 1 }]);
});

test("idempotent calls are held for a part of their latency target", async () => {
  const { add, open, results, silentCalls } = start();
  const [a, b, c] = [open("a", "p"), open("b", "p"), open("c", "p")];
  [a, b, c].forEach(({ link }, id) => add(id, link, true));
  add(3, a.link);
  [a, b].forEach(({ link }) => silentCalls.hold(link));
  silentCalls.abandon(c.link);
  b.isSuspect = false;
  expect([...results]).toMatchObject([[2, LOST]]);
  await sleep(LATENCY_TARGET_MS);
  expect([...results.keys()]).toEqual([2, 0]);
});
