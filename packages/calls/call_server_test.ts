import { createHash } from "node:crypto";
import { afterEach, expect, test } from "vitest";
import { request } from "undici";
import { PeerKeys } from "@oleanderdeck/membership";
import type { RuleQuery } from "@oleanderdeck/agreement";
import {
  BODY_HASH_FIELD,
  CallServerFixture,
  directTarget,
  forwardTarget,
  OpenPolicy,
} from "@oleanderdeck/testing";
import { ContextCodec, type ForwardedCall } from "./call_context.ts";

const policy = new OpenPolicy({
  services: { menus: {}, bookings: {} },
  secrets: { lunchtable: "secret" },
  rule: (query: RuleQuery) => ({
    idempotent: query.method === "GET",
    permit: query.path === "/deposit" ? "required" : "optional",
  }),
});

const fixture = new CallServerFixture(policy);

afterEach(() => fixture.close());

const credential = { "oleanderdeck-credential": "lunchtable:secret" };

// Guards against a broken data path: request body and response must arrive
// complete and unchanged.
test("a call and its response arrive complete", async () => {
  const backend = await fixture.backend({ service: "menus" });
  const { url, admission } = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const body = Buffer.alloc(200_000, 1);
  const answer = await request(`${url}/menus/photo`, {
    method: "PUT",
    headers: {
      ...credential,
      [BODY_HASH_FIELD]: createHash("sha256").update(body).digest("hex"),
    },
    body,
  });
  const received = Buffer.from(await answer.body.arrayBuffer());
  expect(answer.statusCode).toBe(200);
  expect(answer.headers["oleanderdeck-run"]).toBe("yes");
  expect(createHash("sha256").update(received).digest("hex"))
    .toBe(answer.headers[BODY_HASH_FIELD]);
  expect(backend.record.counts).toMatchObject({
    finished: 1,
    corruptBodies: 0,
  });
  expect(admission.results).toMatchObject([{ failure: undefined }]);
});

// Guards against a second execution of a non-idempotent request that is sent
// several times, also through different nodes.
test("a permit lets a request run once, through any node", async () => {
  const backend = await fixture.backend({ service: "bookings" });
  const targets = { bookings: [directTarget(backend.address)] };
  const first = await fixture.callServer(targets);
  const second = await fixture.callServer(targets, { nodeId: "node-2" });
  const issued = await request(`${first.url}/oleanderdeck/v1/permits`, {
    method: "POST",
  });
  const { permit } = await issued.body.json() as { permit: string };
  const book = async (url: string) => {
    const answer = await request(`${url}/bookings/book`, {
      method: "POST",
      headers: { ...credential, "oleanderdeck-request": permit },
      body: "seat 4",
    });
    return [answer.statusCode, (await answer.body.text()).length];
  };
  const answers = await Promise.all([
    book(first.url),
    book(second.url),
    book(first.url),
  ]);
  expect(answers).toEqual([[200, 200], [200, 200], [200, 200]]);
  expect(await book(second.url)).toEqual([200, 200]);
  expect(backend.record.executionCounts()).toEqual({ [permit]: 1 });
  const outcome = await request(
    `${second.url}/oleanderdeck/v1/requests/${permit}`,
  );
  expect(await outcome.body.json()).toMatchObject({ state: "answered" });
});

// Guards against a serving node that rejects the signature of a forwarded call.
test("a forwarded call runs on the worker of the serving node", async () => {
  const backend = await fixture.backend({ service: "menus" });
  const serving = await fixture.callServer(
    { menus: [directTarget(backend.address, "node-2")] },
    { nodeId: "node-2" },
  );
  const calling = await fixture.callServer({
    menus: [forwardTarget(serving.address, "node-2")],
  });
  const answer = await request(`${calling.url}/menus/list?week=3`, {
    headers: credential,
  });
  expect(answer.statusCode).toBe(200);
  expect((await answer.body.text()).length).toBe(200);
  expect(answer.headers["oleanderdeck-unused-retries"]).toBeUndefined();
  expect(serving.admission.requests).toMatchObject([{ forwarded: true }]);
  expect(calling.admission.results).toMatchObject([{ threshold: 512 }]);
  expect(
    [calling, serving].map((callServer) => callServer.node.callServer.inFlight),
  )
    .toEqual([0, 0]);
});

// Guards against a retry on the worker that refused the connection.
test("a refused connection is retried on another worker", async () => {
  const backend = await fixture.backend({ service: "menus" });
  const { url, admission } = await fixture.callServer({
    menus: [directTarget("127.0.0.1:1", "gone"), directTarget(backend.address)],
  });
  const answer = await request(`${url}/menus/list`, { headers: credential });
  expect(answer.statusCode).toBe(200);
  expect(admission.requests.map((attempt) => attempt.excludedNodes))
    .toEqual([[], ["gone"]]);
  expect(admission.results[0]?.failure).toBe("connection_refused");
});

// Guards against a serving node that keeps unused lent retries, returns them
// twice, or accepts a signature that was made for another request.
test("a serving node returns unused retries once", async () => {
  const backend = await fixture.backend({ service: "menus" });
  const callServer = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const codec = new ContextCodec(new PeerKeys(["stand-in key"]));
  const context = codec.encode({
    rootId: Buffer.from("root"),
    callId: Buffer.alloc(16, 1),
    organisation: "lunchtable",
    priority: 1,
    shedKey: 5,
    depth: 2,
    lentRetries: 2,
    audience: "node-1",
    audienceIncarnation: 1n,
    service: "menus",
  });
  const call = { mode: "serve", context, method: "GET", url: "/menus/list" };
  const peer = codec.signForward("node-9", call as ForwardedCall);
  const forward = async (path: string) => {
    const answer = await request(callServer.url + path, {
      headers: { "oleanderdeck-context": context, "oleanderdeck-peer": peer },
    });
    await answer.body.dump();
    return [answer.statusCode, answer.headers["oleanderdeck-unused-retries"]];
  };
  expect(await forward("/menus/list")).toEqual([200, "2"]);
  expect(await forward("/menus/list")).toEqual([200, "0"]);
  expect(await forward("/menus/other")).toEqual([400, undefined]);
  expect(callServer.admission.requests[0]).toMatchObject({
    forwarded: true,
    countsForLimit: false,
    organisation: "lunchtable",
    priority: 1,
    shedKey: 5,
  });
});

// Guards against an undocumented error kind, and against a refused call that
// requests a slot.
test.each([
  ["/menus/list", "lunchtable:wrong", "credential_refused"],
  ["/menus/list", "strangers:secret", "no_agreement"],
  ["/nothing/list", "lunchtable:secret", "no_such_service"],
  ["/menus//list", "lunchtable:secret", "malformed_request"],
])("%s as %s is refused as %s", async (path, secret, kind) => {
  const callServer = await fixture.callServer({});
  const answer = await request(callServer.url + path, {
    headers: { "oleanderdeck-credential": secret },
  });
  expect(answer.headers["oleanderdeck-error"]).toBe(kind);
  expect(answer.headers["oleanderdeck-run"]).toBe("no");
  expect(callServer.admission.requests).toEqual([]);
});

// Guards against a required permit that the caller cannot obtain.
test("a required permit is issued with the refusal", async () => {
  const backend = await fixture.backend({ service: "bookings" });
  const callServer = await fixture.callServer({
    bookings: [directTarget(backend.address)],
  });
  const pay = (headers: Record<string, string>) =>
    request(`${callServer.url}/bookings/deposit`, {
      method: "POST",
      headers: { ...credential, ...headers },
    });
  const refused = await pay({});
  expect([refused.statusCode, refused.headers["oleanderdeck-run"]])
    .toEqual([428, "no"]);
  const permit = String(refused.headers["oleanderdeck-request"]);
  expect((await pay({ "oleanderdeck-request": permit })).statusCode).toBe(200);
  const gone = permit.replace("node-1.", "node-7.");
  const unknown = await pay({ "oleanderdeck-request": gone });
  expect(unknown.headers["oleanderdeck-error"]).toBe("outcome_unknown");
  expect(backend.record.counts.started).toBe(1);
});
