import { connect, type Socket } from "node:net";
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import { request } from "undici";
import {
  CallServerFixture,
  directTarget,
  forwardTarget,
  OpenPolicy,
} from "@oleanderdeck/testing";

const policy = new OpenPolicy({
  services: {
    menus: { progressTimeoutMs: 200, maximumBodyBytes: 1_000_000 },
    reports: {},
  },
  rule: (query) => ({ idempotent: query.method === "GET" }),
});
const fixture = new CallServerFixture(policy);

afterEach(() => fixture.close());

const slow = (milliseconds: number) => ({
  service: "menus",
  requests: [{
    method: "*",
    path: "*",
    serviceTime: { distribution: "constant" as const, milliseconds },
  }],
});

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let turn = 0; turn < 500 && !condition(); turn++) await sleep(10);
  expect(condition()).toBe(true);
}

/** Sends raw bytes and returns everything received until the connection closes. */
async function exchange(address: string, text: string) {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  const chunks: Buffer[] = [];
  socket.on("data", (chunk: Buffer) => chunks.push(chunk));
  socket.on("error", () => {});
  socket.write(text);
  await once(socket, "close");
  return Buffer.concat(chunks).toString();
}

const truncatedResponses = {
  "content-length": "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf",
  chunked: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
};

// Guards against a truncated response that looks complete to the caller, as when
// the node ends its response cleanly after the backend server fails.
test.each(Object.entries(truncatedResponses))(
  "a truncated response with %s is truncated for the caller",
  async (_name, bytes) => {
    const address = await fixture.rawServer((socket) =>
      socket.once("data", () => socket.end(bytes))
    );
    const callServer = await fixture.callServer({
      menus: [directTarget(address)],
    });
    const received = await exchange(
      callServer.address,
      "GET /menus/list HTTP/1.1\r\nhost: node\r\n\r\n",
    );
    expect(received).toContain("half");
    expect(received).not.toContain("\r\n0\r\n");
    expect(callServer.admission.results).toMatchObject([{
      failure: "answer_cut",
    }]);
  },
);

// Guards against a truncated upload that the backend server takes for a complete
// one, as when the node ends the forwarded body cleanly.
test("a truncated upload is truncated for the backend server", async () => {
  const backend = await fixture.backend({ service: "menus" });
  const callServer = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const [host, port] = callServer.address.split(":");
  const socket = connect(Number(port), host);
  socket.write(
    "PUT /menus/photo HTTP/1.1\r\nhost: node\r\n" +
      "content-length: 500000\r\n\r\n" + "x".repeat(100_000),
  );
  await waitUntil(() => callServer.admission.requests.length === 1);
  await sleep(50);
  socket.destroy();
  await waitUntil(() => backend.record.counts.cutBodies === 1);
  expect(backend.record.counts.started).toBe(0);
  await waitUntil(() => callServer.node.callServer.inFlight === 0);
  expect(callServer.admission.results).toMatchObject([
    { failure: "caller_cancelled" },
  ]);
});

// Guards against a backend server that keeps working on a request after its
// deadline, when no caller waits for it any more.
test("a call that exceeds its deadline ends with run unknown", async () => {
  const backend = await fixture.backend(slow(100_000));
  const callServer = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const answer = await request(`${callServer.url}/menus/list`, {
    headers: { "oleanderdeck-timeout-ms": "100" },
  });
  expect(answer.statusCode).toBe(504);
  expect(answer.headers["oleanderdeck-error"]).toBe("deadline_exceeded");
  expect(answer.headers["oleanderdeck-run"]).toBe("unknown");
  await waitUntil(() => backend.record.counts.cancelled === 1);
});

// Guards against a backend server that keeps working on an idempotent request
// after the caller has disconnected.
test("a disconnecting caller cancels an idempotent call", async () => {
  const backend = await fixture.backend(slow(100_000));
  const callServer = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const callerAbort = new AbortController();
  const call = request(`${callServer.url}/menus/list`, {
    signal: callerAbort.signal,
  });
  call.catch(() => {});
  await waitUntil(() => backend.inFlight === 1);
  callerAbort.abort();
  await waitUntil(() => backend.record.counts.cancelled === 1);
  expect(callServer.admission.results).toMatchObject([
    { failure: "caller_cancelled" },
  ]);
});

// Guards against an outcome that the caller cannot find out, as when the node
// aborts a non-idempotent request in execution because its caller disconnects.
test("a non-idempotent request continues after its caller disconnects", async () => {
  const backend = await fixture.backend(slow(100));
  const callServer = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const permit = callServer.node.permitLedger.issue();
  const book = (signal?: AbortSignal) =>
    request(`${callServer.url}/menus/order`, {
      method: "POST",
      headers: { "oleanderdeck-request": permit },
      signal,
    });
  const callerAbort = new AbortController();
  book(callerAbort.signal).catch(() => {});
  await waitUntil(() => backend.inFlight === 1);
  callerAbort.abort();
  const answer = await book();
  expect(answer.statusCode).toBe(200);
  expect((await answer.body.text()).length).toBe(200);
  expect(backend.record.counts).toMatchObject({ started: 1, cancelled: 0 });
});

// Guards against calls that hang on a connection without progress.
test("an attempt on a silent connection is cancelled", async () => {
  const sockets: Socket[] = [];
  const silent = await fixture.rawServer((socket) =>
    sockets.push(socket.resume())
  );
  const backend = await fixture.backend({ service: "menus" });
  const callServer = await fixture.callServer({
    menus: [directTarget(silent, "silent"), directTarget(backend.address)],
  });
  const idempotent = await request(`${callServer.url}/menus/list`);
  expect(idempotent.statusCode).toBe(200);
  await waitUntil(() => sockets[0]?.destroyed ?? false);
  callServer.admission.targets.set("menus", [directTarget(silent, "silent")]);
  const other = await request(`${callServer.url}/menus/order`, {
    method: "POST",
  });
  expect(other.headers["oleanderdeck-error"]).toBe("connection_lost");
  expect(other.headers["oleanderdeck-run"]).toBe("unknown");
});

// Guards against a refusal by one worker that ends the call although another
// worker could run it, and against a wrong execution status after the refusal.
test("a request refused by one worker runs on another", async () => {
  const full = await fixture.rawServer((socket) =>
    socket.on("data", () =>
      socket.write(
        "HTTP/1.1 503 Full\r\noleanderdeck-run: no\r\ncontent-length: 0\r\n\r\n",
      ))
  );
  const backend = await fixture.backend({ service: "menus" });
  const callServer = await fixture.callServer({
    menus: [directTarget(full, "full"), directTarget(backend.address)],
  });
  const order = () =>
    request(`${callServer.url}/menus/order`, { method: "POST" });
  expect((await order()).statusCode).toBe(200);
  callServer.admission.targets.set("menus", [directTarget(full, "full")]);
  const refused = await order();
  expect(refused.headers["oleanderdeck-error"]).toBe("worker_refused");
  expect(refused.headers["oleanderdeck-run"]).toBe("no");
});

// Guards against the execution status "no" when the last attempt was refused but
// an earlier one may have run.
test("a refused retry does not hide an attempt that may have run", async () => {
  const lost = await fixture.rawServer((socket) =>
    socket.once("data", () => socket.destroy())
  );
  const callServer = await fixture.callServer({
    menus: [directTarget(lost, "lost"), directTarget("127.0.0.1:1", "gone")],
  });
  const answer = await request(`${callServer.url}/menus/list`);
  expect(answer.headers["oleanderdeck-run"]).toBe("unknown");
});

// Guards against slow or endless uploads that occupy slots.
test("slow and oversized bodies are refused", async () => {
  const backend = await fixture.backend({ service: "menus" });
  const callServer = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const put = (rest: string) =>
    exchange(
      callServer.address,
      `PUT /menus/photo HTTP/1.1\r\nhost: node\r\n${rest}`,
    );
  const slowBody = await put("content-length: 50\r\n\r\nhalf");
  expect(slowBody).toContain("oleanderdeck-error: deadline_exceeded");
  expect(slowBody).toContain("oleanderdeck-run: no");
  expect(callServer.admission.requests).toEqual([]);
  expect(await put("content-length: 1000001\r\n\r\n"))
    .toContain("oleanderdeck-error: too_large");
  const part = `${(600_000).toString(16)}\r\n${"x".repeat(600_000)}\r\n`;
  expect(await put(`transfer-encoding: chunked\r\n\r\n${part}${part}`))
    .toContain("oleanderdeck-error: too_large");
  expect(backend.record.counts.started).toBe(0);
}, 20_000);

// Guards against memory that grows with the response to a caller that reads
// slowly or not at all.
test("a caller that does not read pauses the backend server", async () => {
  let written = 0;
  const address = await fixture.rawServer((socket) =>
    socket.once("data", () => {
      socket.write("HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n");
      const chunk = Buffer.alloc(65_536);
      const write = () => {
        while (socket.write(chunk)) written += chunk.length;
        written += chunk.length;
      };
      socket.on("drain", write);
      write();
    })
  );
  const callServer = await fixture.callServer({
    menus: [directTarget(address)],
  });
  const [host, port] = callServer.address.split(":");
  const socket = connect(Number(port), host).pause();
  socket.write("GET /menus/list HTTP/1.1\r\nhost: node\r\n\r\n");
  await waitUntil(() => written > 0);
  await sleep(300);
  const before = written;
  await sleep(300);
  expect(written).toBe(before);
  socket.destroy();
  await waitUntil(() => callServer.node.callServer.inFlight === 0);
});

// Guards against a shutdown that aborts calls in flight or lets new callers wait.
test("a graceful shutdown completes calls in flight", async () => {
  const backend = await fixture.backend(slow(150));
  const callServer = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const running = request(`${callServer.url}/menus/list`);
  await waitUntil(() => backend.inFlight === 1);
  const closed = callServer.node.close();
  const refused = await request(`${callServer.url}/menus/list`);
  expect(refused.headers["oleanderdeck-error"]).toBe("draining");
  expect(refused.headers["oleanderdeck-run"]).toBe("no");
  const answer = await running;
  expect((await answer.body.text()).length).toBe(200);
  await closed;
  await expect(request(`${callServer.url}/menus/list`)).rejects.toThrow();
});

// Guards against the loss of the execution status "no" on the way from the
// serving node to the caller.
test("a serving node reports that a withdrawn call was not run", async () => {
  const serving = await fixture.callServer({ menus: [] }, { nodeId: "node-2" });
  const calling = await fixture.callServer({
    menus: [forwardTarget(serving.address, "node-2")],
  });
  const answer = await request(`${calling.url}/menus/order`, {
    method: "POST",
  });
  expect(answer.headers["oleanderdeck-error"]).toBe("no_worker");
  expect(answer.headers["oleanderdeck-run"]).toBe("no");
  const outcome = await request(
    `${calling.url}/oleanderdeck/v1/requests/${
      answer.headers["oleanderdeck-request"]
    }`,
  );
  expect(await outcome.body.json()).toMatchObject({ state: "not_run" });
});

// Guards against a node that crashes, or a call that hangs, when a component
// throws.
test("an exception inside the node ends the call as internal", async () => {
  const backend = await fixture.backend({ service: "menus" });
  const callServer = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const admit = callServer.admission.admit.bind(callServer.admission);
  callServer.admission.admit = () => {
    throw new Error("fault in admission");
  };
  const early = await request(`${callServer.url}/menus/list`);
  expect(early.headers["oleanderdeck-error"]).toBe("internal");
  expect(early.headers["oleanderdeck-run"]).toBe("no");
  callServer.admission.admit = (attempt) =>
    admit(attempt).map(({ target }) => ({
      target,
      finish: () => {
        throw new Error("fault in finish");
      },
    }));
  const late = request(`${callServer.url}/menus/list`)
    .then((answer) => answer.body.text());
  await expect(late).rejects.toThrow();
  expect(callServer.node.callServer.inFlight).toBe(0);
});

// Guards against connections that stay occupied by a refusal whose body never
// ends.
test("the connection of a refusal that never ends is destroyed", async () => {
  const sockets: Socket[] = [];
  const address = await fixture.rawServer((socket) => {
    sockets.push(socket);
    socket.once("data", () => {
      socket.write("HTTP/1.1 503 Full\r\noleanderdeck-run: no\r\n");
      socket.write("content-length: 10\r\n\r\nhalf");
    });
  });
  const callServer = await fixture.callServer({
    menus: [directTarget(address)],
  });
  const answer = await request(`${callServer.url}/menus/list`);
  expect(answer.headers["oleanderdeck-error"]).toBe("worker_refused");
  await waitUntil(() => sockets[0]!.destroyed);
});

// Guards against a process that was held up, by its own work or a busy machine, and
// cuts off answers whose bytes have arrived but were not read yet.
test("an answer that arrived while the process was held up is whole", async () => {
  const held = new Int32Array(new SharedArrayBuffer(4));
  const address = await fixture.rawServer((socket) => {
    socket.once("data", () => {
      socket.write("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nab");
      // Behind an immediate, timers run before sockets are read.
      setTimeout(() =>
        setImmediate(() => {
          socket.write("cd");
          Atomics.wait(held, 0, 0, 300);
        }), 50);
    });
  });
  const callServer = await fixture.callServer({
    menus: [directTarget(address)],
  });
  const answer = await request(`${callServer.url}/menus/list`);
  expect(answer.statusCode).toBe(200);
  expect(await answer.body.text()).toBe("abcd");
});

// Guards against a shutdown that truncates responses which are still being
// written to slow callers.
test("a graceful shutdown waits for a slow caller to read", async () => {
  // Of a service without a short progress timeout: this process is the backend
  // server, too, and is held up while it makes the answer.
  const bytes = 12_000_000;
  const backend = await fixture.backend({
    service: "reports",
    requests: [{ method: "*", path: "*", answerBytes: bytes }],
  });
  const callServer = await fixture.callServer({
    reports: [directTarget(backend.address)],
  });
  const [host, port] = callServer.address.split(":");
  const socket = connect(Number(port), host).pause();
  socket.write("GET /reports/list HTTP/1.1\r\nhost: node\r\n\r\n");
  await waitUntil(() => callServer.node.callServer.inFlight === 1);
  await sleep(100);
  const closed = callServer.node.close();
  let received = 0;
  let ended = false;
  let waited = false;
  socket.on("close", () => ended = true);
  socket.on("data", (chunk: Buffer) => {
    received += chunk.byteLength;
    socket.pause();
    // Pauses longer once, while the node still holds the last bytes.
    const isLast = !waited && callServer.node.callServer.inFlight === 0;
    waited ||= isLast;
    setTimeout(() => socket.resume(), isLast ? 300 : 2);
  });
  socket.resume();
  await waitUntil(() => received > bytes || ended);
  expect(received).toBeGreaterThan(bytes);
  await closed;
});
