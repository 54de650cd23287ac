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

async function settled(condition: () => boolean): Promise<void> {
  for (let turn = 0; turn < 500 && !condition(); turn++) await sleep(10);
  expect(condition()).toBe(true);
}

/** Sends raw bytes and collects what comes back until the end. */
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

const cutAnswers = {
  "content-length": "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf",
  chunked: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
};

// Guards against a cut answer that looks whole to the caller.
test.each(Object.entries(cutAnswers))(
  "a cut answer with %s is cut for the caller",
  async (_name, bytes) => {
    const address = await fixture.rawServer((socket) =>
      socket.once("data", () => socket.end(bytes))
    );
    const edge = await fixture.callServer({ menus: [directTarget(address)] });
    const received = await exchange(
      edge.address,
      "GET /menus/list HTTP/1.1\r\nhost: node\r\n\r\n",
    );
    expect(received).toContain("half");
    expect(received).not.toContain("\r\n0\r\n");
    expect(edge.admission.results).toMatchObject([{ failure: "answer_cut" }]);
  },
);

// Guards against a cut upload that the backend server takes for a whole one.
test("a cut upload is cut for the backend server", async () => {
  const backend = await fixture.backend({ service: "menus" });
  const edge = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const [host, port] = edge.address.split(":");
  const socket = connect(Number(port), host);
  socket.write(
    "PUT /menus/photo HTTP/1.1\r\nhost: node\r\n" +
      "content-length: 500000\r\n\r\n" + "x".repeat(100_000),
  );
  await settled(() => edge.admission.requests.length === 1);
  await sleep(50);
  socket.destroy();
  await settled(() => backend.record.counts.cutBodies === 1);
  expect(backend.record.counts.started).toBe(0);
  await settled(() => edge.node.callServer.inFlight === 0);
  expect(edge.admission.results).toMatchObject([
    { failure: "caller_cancelled" },
  ]);
});

// Guards against work that goes on after nobody waits for it.
test("a call that outlives its deadline is ended as unknown", async () => {
  const backend = await fixture.backend(slow(100_000));
  const edge = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const answer = await request(`${edge.url}/menus/list`, {
    headers: { "oleanderdeck-timeout-ms": "100" },
  });
  expect(answer.statusCode).toBe(504);
  expect(answer.headers["oleanderdeck-error"]).toBe("deadline_exceeded");
  expect(answer.headers["oleanderdeck-run"]).toBe("unknown");
  await settled(() => backend.record.counts.cancelled === 1);
});

// Guards against work that goes on after the caller has gone away.
test("a caller that goes away cancels an idempotent call", async () => {
  const backend = await fixture.backend(slow(100_000));
  const edge = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const gone = new AbortController();
  const call = request(`${edge.url}/menus/list`, { signal: gone.signal });
  call.catch(() => {});
  await settled(() => backend.inFlight === 1);
  gone.abort();
  await settled(() => backend.record.counts.cancelled === 1);
  expect(edge.admission.results).toMatchObject([
    { failure: "caller_cancelled" },
  ]);
});

// Guards against an outcome that nobody can learn any more.
test("a non-idempotent request goes on when its caller goes away", async () => {
  const backend = await fixture.backend(slow(100));
  const edge = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const permit = edge.node.ledger.issue();
  const book = (signal?: AbortSignal) =>
    request(`${edge.url}/menus/order`, {
      method: "POST",
      headers: { "oleanderdeck-request": permit },
      signal,
    });
  const gone = new AbortController();
  book(gone.signal).catch(() => {});
  await settled(() => backend.inFlight === 1);
  gone.abort();
  const answer = await book();
  expect(answer.statusCode).toBe(200);
  expect((await answer.body.text()).length).toBe(200);
  expect(backend.record.counts).toMatchObject({ started: 1, cancelled: 0 });
});

// Guards against calls that hang on a connection that has become silent.
test("a silent connection is given up", async () => {
  const sockets: Socket[] = [];
  const silent = await fixture.rawServer((socket) =>
    sockets.push(socket.resume())
  );
  const backend = await fixture.backend({ service: "menus" });
  const edge = await fixture.callServer({
    menus: [directTarget(silent, "silent"), directTarget(backend.address)],
  });
  const idempotent = await request(`${edge.url}/menus/list`);
  expect(idempotent.statusCode).toBe(200);
  await settled(() => sockets[0]?.destroyed ?? false);
  edge.admission.targets.set("menus", [directTarget(silent, "silent")]);
  const other = await request(`${edge.url}/menus/order`, { method: "POST" });
  expect(other.headers["oleanderdeck-error"]).toBe("connection_lost");
  expect(other.headers["oleanderdeck-run"]).toBe("unknown");
});

// Guards against a false "not run" and against a lost chance to run elsewhere.
test("a request refused by one worker runs on another", async () => {
  const full = await fixture.rawServer((socket) =>
    socket.on("data", () =>
      socket.write(
        "HTTP/1.1 503 Full\r\noleanderdeck-run: no\r\ncontent-length: 0\r\n\r\n",
      ))
  );
  const backend = await fixture.backend({ service: "menus" });
  const edge = await fixture.callServer({
    menus: [directTarget(full, "full"), directTarget(backend.address)],
  });
  const order = () => request(`${edge.url}/menus/order`, { method: "POST" });
  expect((await order()).statusCode).toBe(200);
  edge.admission.targets.set("menus", [directTarget(full, "full")]);
  const refused = await order();
  expect(refused.headers["oleanderdeck-error"]).toBe("worker_refused");
  expect(refused.headers["oleanderdeck-run"]).toBe("no");
});

// Guards against "not run" after an earlier attempt that may have run.
test("a refused retry does not hide an attempt that may have run", async () => {
  const lost = await fixture.rawServer((socket) =>
    socket.once("data", () => socket.destroy())
  );
  const edge = await fixture.callServer({
    menus: [directTarget(lost, "lost"), directTarget("127.0.0.1:1", "gone")],
  });
  const answer = await request(`${edge.url}/menus/list`);
  expect(answer.headers["oleanderdeck-run"]).toBe("unknown");
});

// Guards against slots that are held by slow or endless uploads.
test("slow and oversized bodies are refused", async () => {
  const backend = await fixture.backend({ service: "menus" });
  const edge = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const put = (rest: string) =>
    exchange(
      edge.address,
      `PUT /menus/photo HTTP/1.1\r\nhost: node\r\n${rest}`,
    );
  const slowBody = await put("content-length: 50\r\n\r\nhalf");
  expect(slowBody).toContain("oleanderdeck-error: deadline_exceeded");
  expect(slowBody).toContain("oleanderdeck-run: no");
  expect(edge.admission.requests).toEqual([]);
  expect(await put("content-length: 1000001\r\n\r\n"))
    .toContain("oleanderdeck-error: too_large");
  const part = `${(600_000).toString(16)}\r\n${"x".repeat(600_000)}\r\n`;
  expect(await put(`transfer-encoding: chunked\r\n\r\n${part}${part}`))
    .toContain("oleanderdeck-error: too_large");
  expect(backend.record.counts.started).toBe(0);
}, 20_000);

// Guards against memory that grows with the answer of a slow reader.
test("a caller that does not read stops the backend server", async () => {
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
  const edge = await fixture.callServer({ menus: [directTarget(address)] });
  const [host, port] = edge.address.split(":");
  const socket = connect(Number(port), host).pause();
  socket.write("GET /menus/list HTTP/1.1\r\nhost: node\r\n\r\n");
  await settled(() => written > 0);
  await sleep(300);
  const before = written;
  await sleep(300);
  expect(written).toBe(before);
  socket.destroy();
  await settled(() => edge.node.callServer.inFlight === 0);
});

// Guards against a stop that cuts off calls or leaves callers waiting.
test("a graceful stop ends calls in flight whole", async () => {
  const backend = await fixture.backend(slow(150));
  const edge = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const running = request(`${edge.url}/menus/list`);
  await settled(() => backend.inFlight === 1);
  const closed = edge.node.close();
  const refused = await request(`${edge.url}/menus/list`);
  expect(refused.headers["oleanderdeck-error"]).toBe("draining");
  expect(refused.headers["oleanderdeck-run"]).toBe("no");
  const answer = await running;
  expect((await answer.body.text()).length).toBe(200);
  await closed;
  await expect(request(`${edge.url}/menus/list`)).rejects.toThrow();
});

// Guards against "not run" lost on its way from the serving node.
test("a serving node states that a withdrawn call was not run", async () => {
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

// Guards against a node that stops, or a call that hangs, when a part throws.
test("a fault inside the node ends the call as internal", async () => {
  const backend = await fixture.backend({ service: "menus" });
  const edge = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const admit = edge.admission.admit.bind(edge.admission);
  edge.admission.admit = () => {
    throw new Error("fault in admission");
  };
  const early = await request(`${edge.url}/menus/list`);
  expect(early.headers["oleanderdeck-error"]).toBe("internal");
  expect(early.headers["oleanderdeck-run"]).toBe("no");
  edge.admission.admit = (attempt) =>
    admit(attempt).map(({ target }) => ({
      target,
      finish: () => {
        throw new Error("fault in finish");
      },
    }));
  const late = request(`${edge.url}/menus/list`)
    .then((answer) => answer.body.text());
  await expect(late).rejects.toThrow();
  expect(edge.node.callServer.inFlight).toBe(0);
});

// Guards against connections that are kept busy by refusals without an end.
test("a refusal that never ends costs its connection", async () => {
  const sockets: Socket[] = [];
  const address = await fixture.rawServer((socket) => {
    sockets.push(socket);
    socket.once("data", () => {
      socket.write("HTTP/1.1 503 Full\r\noleanderdeck-run: no\r\n");
      socket.write("content-length: 10\r\n\r\nhalf");
    });
  });
  const edge = await fixture.callServer({ menus: [directTarget(address)] });
  const answer = await request(`${edge.url}/menus/list`);
  expect(answer.headers["oleanderdeck-error"]).toBe("worker_refused");
  await settled(() => sockets[0]!.destroyed);
});

// Guards against a stop that cuts off answers which are still being written to
// slow callers.
test("a graceful stop waits for a slow caller to read", async () => {
  const bytes = 12_000_000;
  const backend = await fixture.backend({
    service: "menus",
    requests: [{ method: "*", path: "*", answerBytes: bytes }],
  });
  const edge = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const [host, port] = edge.address.split(":");
  const socket = connect(Number(port), host).pause();
  socket.write("GET /menus/list HTTP/1.1\r\nhost: node\r\n\r\n");
  await settled(() => edge.node.callServer.inFlight === 1);
  await sleep(100);
  const closed = edge.node.close();
  let received = 0;
  let ended = false;
  let waited = false;
  socket.on("close", () => ended = true);
  socket.on("data", (chunk: Buffer) => {
    received += chunk.byteLength;
    socket.pause();
    // Waits long once, while the last bytes are still in the node.
    const isLast = !waited && edge.node.callServer.inFlight === 0;
    waited ||= isLast;
    setTimeout(() => socket.resume(), isLast ? 300 : 2);
  });
  socket.resume();
  await settled(() => received > bytes || ended);
  expect(received).toBeGreaterThan(bytes);
  await closed;
});
