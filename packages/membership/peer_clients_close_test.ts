import { createServer, type ServerHttp2Session } from "node:http2";
import type { AddressInfo } from "node:net";
import { setImmediate as turn } from "node:timers/promises";
import { create } from "@bufbuild/protobuf";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { expect, test } from "vitest";
import { MemberSchema, PeerService } from "@oleanderdeck/protocol";
import { PeerClients } from "./peer_clients.ts";
import { PeerKeys } from "./peer_keys.ts";

const ROUNDS = 200;

// Maximum number of event loop turns between the server's GOAWAY frame and the
// close of the client. The frame arrives within this number.
const MAX_DELAY_TURNS = 8;

// Guards against an uncaught exception in a node that stops at the same time as a
// node that it has called, because it aborts a connection that is ending. One in
// eight of such connections raised it.
test("a close during a server's GOAWAY raises no exception", async () => {
  const sessions = new Set<ServerHttp2Session>();
  const server = createServer(connectNodeAdapter({
    routes: (router) =>
      void router.service(PeerService, { syncMembers: () => ({}) }),
  }));
  server.on("session", (session) => sessions.add(session));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const raised: unknown[] = [];
  const record = (error: unknown) => raised.push(error);
  const earlier = process.listeners("uncaughtException");
  process.removeAllListeners("uncaughtException");
  process.on("uncaughtException", record);
  const keys = new PeerKeys(["0123456789abcdef"]);
  const member = create(MemberSchema, {
    nodeId: "server",
    controlAddress: `127.0.0.1:${port}`,
  });
  for (let round = 0; round < ROUNDS; round++) {
    const clients = new PeerClients({ keys, nodeId: "client" });
    await clients.client(member).syncMembers({});
    sessions.forEach((session) => session.close());
    sessions.clear();
    for (let turns = 0; turns < round % MAX_DELAY_TURNS; turns++) {
      await turn();
    }
    clients.close();
    await turn();
  }
  await new Promise((resolve) => setTimeout(resolve, 50));
  process.off("uncaughtException", record);
  earlier.forEach((listener) => process.on("uncaughtException", listener));
  server.close();
  expect(raised).toEqual([]);
});
