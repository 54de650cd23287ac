import { connect, createServer, type Http2Server } from "node:http2";
import type { AddressInfo } from "node:net";
import { create } from "@bufbuild/protobuf";
import { Code, ConnectError, type Interceptor } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import {
  type Member,
  MemberSchema,
  PEER_FIELD,
  PeerService,
} from "@oleanderdeck/protocol";
import { afterEach, beforeEach, expect, test } from "vitest";
import { PeerClients } from "./peer_clients.ts";
import { PeerKeys } from "./peer_keys.ts";
import { verifyPeerCalls } from "./peer_signature.ts";

const keys = new PeerKeys(["test"]);
let server: Http2Server;
let called: Member;
let signatures: string[];

beforeEach(async () => {
  signatures = [];
  const record: Interceptor = (next) => (request) => {
    signatures.push(request.header.get(PEER_FIELD) ?? "");
    return next(request);
  };
  server = createServer(connectNodeAdapter({
    interceptors: [record, verifyPeerCalls({ keys, nodeId: "called" })],
    routes: (router) =>
      router.service(PeerService, {
        settleAllowance: (request) => ({ unused: request.callId.length }),
      }),
  }));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  called = create(MemberSchema, {
    nodeId: "called",
    controlAddress: `127.0.0.1:${port}`,
  });
});

afterEach(() => void server.close());

function rejection(call: Promise<unknown>): Promise<Code | undefined> {
  return call.then(
    () => undefined,
    (error) => ConnectError.from(error).code,
  );
}

// Guards against connections that stay open to each node that was ever called.
test("a signed call is served, and an idle connection is closed", async () => {
  const clients = new PeerClients({
    keys,
    nodeId: "caller",
    idleTimeoutMs: 50,
  });
  const response = await clients.client(called)
    .settleAllowance({ callId: new Uint8Array(3) });
  expect(response.unused).toBe(3);
  expect(clients.connections).toBe(1);
  await expect.poll(() => clients.connections).toBe(0);
  await clients.client(called).settleAllowance({});
  clients.close();
});

// Guards against calls by processes outside the fleet.
test("a call with another key or for another node is rejected", async () => {
  const stranger = new PeerClients({
    keys: new PeerKeys(["other"]),
    nodeId: "caller",
  });
  const clients = new PeerClients({ keys, nodeId: "caller" });
  const other = { ...called, nodeId: "other" };
  expect(await rejection(stranger.client(called).settleAllowance({})))
    .toBe(Code.Unauthenticated);
  expect(await rejection(clients.client(other).settleAllowance({})))
    .toBe(Code.Unauthenticated);
  stranger.close();
  clients.close();
});

// Guards against the reuse of a recorded signature for further calls.
test("a replayed or altered call is rejected", async () => {
  const clients = new PeerClients({ keys, nodeId: "caller" });
  await clients.client(called).settleAllowance({});
  clients.close();
  const repeat = (method: string, body: Uint8Array) =>
    postUnary(`${called.controlAddress}/${PeerService.typeName}/${method}`, {
      signature: signatures[0]!,
      body,
    });
  expect(await repeat("SettleAllowance", new Uint8Array())).toBe(401);
  expect(await repeat("SettleAllowance", Uint8Array.of(10, 1, 1))).toBe(401);
  expect(await repeat("FetchDocuments", new Uint8Array())).toBe(401);
});

interface UnaryPost {
  readonly signature: string;
  readonly body: Uint8Array;
}

/** Posts the encoded request of a call and returns the HTTP status. */
function postUnary(url: string, options: UnaryPost): Promise<number> {
  const { host, pathname } = new URL(`http://${url}`);
  const session = connect(`http://${host}`);
  return new Promise((resolve, reject) => {
    const stream = session.request({
      ":method": "POST",
      ":path": pathname,
      "content-type": "application/proto",
      "connect-protocol-version": "1",
      [PEER_FIELD]: options.signature,
    });
    stream.on("response", (headers) => {
      resolve(Number(headers[":status"]));
      session.close();
    });
    stream.on("error", reject);
    stream.end(options.body);
  });
}
