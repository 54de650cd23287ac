import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import {
  acceptedLinkSocket,
  type CallFrame,
  type Frame,
  Link,
} from "@oleanderdeck/hop";
import { IDLE_LOAD, TestFleet, type TestHost } from "./_test_fleet.ts";

/** Time for which the worker runs a call, in milliseconds. */
const HOLD_MS = 300;

/** Time in which a node without work confirms what it has received, in milliseconds. */
const CONFIRMED_MS = 1_700;

let fleet: TestFleet;
let host: TestHost;
beforeEach(async () => {
  fleet = new TestFleet();
  fleet.configure(1, [{ shares: [{ service: "members", weight: 1 }] }]);
  host = await fleet.add("one", "members", { slots: 2 });
  host.worker.holdMs = HOLD_MS;
  await expect.poll(() => host.node.isReady).toBe(true);
});
afterEach(() => fleet.close());

/** Link to the node, and the frames about calls received on it. */
interface RawLink {
  readonly link: Link;
  readonly frames: Frame[];
}

function openLink(linkId?: string, node = "caller"): RawLink {
  const frames: Frame[] = [];
  const socket = connect(host.linkPort, host.address);
  const link = new Link(acceptedLinkSocket(socket), {
    onFrame: (frame) => {
      if (["answer", "failure", "claimed"].includes(frame.kind)) {
        frames.push(frame);
      }
    },
    onClose: () => undefined,
  });
  link.send({
    kind: "hello",
    node,
    service: "menus",
    configurationVersion: 1,
    load: IDLE_LOAD,
    processId: `${node}-process`,
    ...(linkId !== undefined && { linkId }),
  });
  return { link, frames };
}

const call = (id: number): CallFrame => ({
  kind: "call",
  id,
  service: "members",
  requestId: `r${id}`,
  route: "route",
  method: "GET",
  target: "/members/1",
  headers: ["x-request", `r${id}`],
  timeLeftMs: 5_000,
  latencyTargetMs: 5_000,
  rank: 8,
  isIdempotent: false,
  isRepeat: false,
  body: Buffer.alloc(0),
});

const ran = () => host.worker.ran.map(({ requestId }) => requestId);

async function runOn({ link }: RawLink, ...ids: readonly number[]) {
  ids.forEach((id) => link.send(call(id)));
  await expect.poll(ran).toContain(`r${ids[0]}`);
}

function claim({ link }: RawLink, linkIds: string[], ids: number[]): void {
  link.send({ kind: "claim", linkIds, ids });
}

const answerTo = (id: number) => ({
  kind: "answer",
  id,
  body: Buffer.from(`answer to r${id}`),
});
const lost = (id: number) => ({
  kind: "failure",
  id,
  error: "connection_lost",
  mayHaveRun: true,
});

test("a running call is answered on the link that claims it", async () => {
  const first = openLink("a");
  await runOn(first, 1);
  const second = openLink("b");
  claim(second, ["a"], [1, 9]);
  await expect.poll(() => second.frames.length).toBe(2);
  expect(second.frames).toMatchObject([
    { kind: "claimed", missingIds: [9] },
    answerTo(1),
  ]);
  expect(first).toMatchObject({ link: { isClosed: true }, frames: [] });
  expect(ran()).toEqual(["r1"]);
});

test("a result that may be lost is sent again until confirmed", async () => {
  const first = openLink("a");
  await runOn(first, 1);
  await expect.poll(() => first.frames).toMatchObject([answerTo(1)]);
  const second = openLink("b");
  claim(second, ["a"], [1]);
  await expect.poll(() => second.frames.length).toBe(2);
  expect(second.frames).toMatchObject([answerTo(1), { missingIds: [] }]);
  expect(ran()).toEqual(["r1"]);
});

// Guards against a call that is told as not run after its result was given up.
test.each([
  { sort: "was received", linkId: "a", waitMs: CONFIRMED_MS },
  { sort: "an earlier release gets", linkId: undefined, waitMs: 0 },
])("a result that $sort is not kept", async ({ linkId, waitMs }) => {
  const first = openLink(linkId);
  await runOn(first, 1);
  await expect.poll(() => first.frames).toMatchObject([answerTo(1)]);
  await sleep(waitMs);
  const second = openLink("b");
  claim(second, ["a"], [1]);
  await expect.poll(() => second.frames.length).toBe(2);
  expect(second.frames).toMatchObject([lost(1), { missingIds: [] }]);
});

test("a link that claims calls knows which were received before", async () => {
  const first = openLink("a");
  await runOn(first, 1);
  await sleep(CONFIRMED_MS);
  const second = openLink("b");
  claim(second, ["a"], []);
  await expect.poll(() => second.frames.length).toBe(1);
  const third = openLink("c");
  claim(third, ["b"], [1]);
  await expect.poll(() => third.frames.length).toBe(2);
  expect(third.frames).toMatchObject([lost(1), { missingIds: [] }]);
});

test("a claim of another caller or process gets nothing", async () => {
  const first = openLink("a");
  await runOn(first, 1);
  const other = openLink("b", "other");
  claim(other, ["a"], [1, 9]);
  await expect.poll(() => other.frames.length).toBe(3);
  expect(other.frames)
    .toMatchObject([lost(1), lost(9), { missingIds: [] }]);
  await expect.poll(() => first.frames).toMatchObject([answerTo(1)]);
});

// Guards against a running call that is told as not run, because the link on which
// it was claimed went silent as well.
test.each([true, false])(
  "a call is claimed twice, the first claim received: %s",
  async (isReceived) => {
    await runOn(openLink("a"), 1);
    const second = openLink("b");
    if (isReceived) {
      claim(second, ["a"], [1]);
      await expect.poll(() => second.frames.length).toBe(1);
    }
    const third = openLink("c");
    claim(third, ["b", "a"], [1, 9]);
    await expect.poll(() => third.frames.length).toBe(2);
    expect(third.frames).toMatchObject([{ missingIds: [9] }, answerTo(1)]);
    expect(ran()).toEqual(["r1"]);
  },
);

test("calls that are not claimed are cancelled", async () => {
  const first = openLink("a");
  await runOn(first, 1, 2, 3, 4);
  const second = openLink("b");
  claim(second, ["a"], [1, 4]);
  await expect.poll(() => second.frames.length).toBe(3);
  expect(second.frames.slice(1)).toMatchObject([answerTo(1), answerTo(4)]);
  expect(ran()).toEqual(["r1", "r2", "r4"]);
});

test("a call is claimed while the node stops", async () => {
  host.worker.holdMs = 4 * HOLD_MS;
  await runOn(openLink("a"), 1);
  const stopped = host.node.stop();
  await sleep(HOLD_MS);
  const second = openLink("b");
  claim(second, ["a"], [1]);
  await stopped;
  expect(second.frames).toMatchObject([{ missingIds: [] }, answerTo(1)]);
});

test("an odd claim ends its own link only", async () => {
  const first = openLink("a");
  await runOn(first, 1);
  const odd = [
    { linkIds: ["b"], ids: [1] },
    { linkIds: ["a"], ids: [1, 1] },
    { linkIds: Array(9).fill("a"), ids: [1] },
  ].map(({ linkIds, ids }) => {
    const second = openLink("b");
    claim(second, linkIds, ids);
    return second;
  });
  const unnamed = openLink();
  claim(unnamed, ["a"], [1]);
  await expect.poll(() => [...odd, unnamed].every(({ link }) => link.isClosed))
    .toBe(true);
  await expect.poll(() => first.frames).toMatchObject([answerTo(1)]);
});
