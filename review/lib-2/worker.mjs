// Stand-in of an application worker: heartbeats to the node beside it, answers
// with signature and echoed identity, runs up to `slots` requests at once.
import { createServer, request as httpRequest } from "node:http";

export class Worker {
  runs = [];
  #running = 0;
  #sequence = 0;
  #timer;
  #server;

  /** options: id, service, zone, host, port, controlHost, controlPort, slots, workMs, onRun */
  constructor(options) {
    this.options = { slots: 50, workMs: 20, zone: "z-a", ...options };
    this.born = Date.now();
    this.isLeaving = false;
    this.#server = createServer(
      { maxHeaderSize: 65_536 },
      (request, response) => this.#handle(request, response),
    );
    // Node.js would leave out all fields behind the first 1,000.
    this.#server.maxHeadersCount = 0;
    this.#server.keepAliveTimeout = 10_000;
  }

  async start() {
    const { host, port, heartbeatMs = 1_500 } = this.options;
    await new Promise((resolve) => this.#server.listen(port, host, resolve));
    this.#timer = setInterval(() => this.beat(), heartbeatMs);
    this.beat();
  }

  close() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  beat() {
    return this.tell("PUT", this.prepareBeat());
  }

  /** Sends no further heartbeats by itself. */
  stopBeats() {
    clearInterval(this.#timer);
  }

  /** Returns the content of the next heartbeat, which is still to be sent. */
  prepareBeat() {
    const { service, zone, host, port, slots } = this.options;
    return {
      address: `${host}:${port}`,
      info: { service, version: "v1", zone, slots },
      status: {
        state: this.isLeaving ? "draining" : "ready",
        seq: ++this.#sequence,
        coldRemainingMs: 0,
      },
      born: this.born,
    };
  }

  /** Resolves to the status of the answer; 0 without one within a second. */
  tell(method, content) {
    const { id, controlHost, controlPort } = this.options;
    const body = JSON.stringify(content);
    return new Promise((resolve) => {
      const call = httpRequest({
        host: controlHost,
        port: controlPort,
        method,
        path: `/instances/${id}`,
        headers: {
          "Content-Type": "application/json",
          "Content-Length": Buffer.byteLength(body),
        },
        timeout: 1_000,
        agent: false,
      }, (response) => {
        response.resume();
        response.on("end", () => resolve(response.statusCode));
      });
      call.on("timeout", () => call.destroy());
      call.on("error", () => resolve(0));
      call.end(body);
    });
  }

  async #handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return; // The node has given up the request before it was complete.
    }
    const { id, slots, workMs } = this.options;
    const requestId = request.headers["oleanderdeck-request-id"];
    const answer = (status, headers, body) => {
      if (response.destroyed) return;
      response.writeHead(status, {
        ...(requestId !== undefined &&
          { "Oleanderdeck-Request-Id": requestId }),
        "Content-Length": Buffer.byteLength(body),
        ...headers,
      }).end(body);
    };
    if (request.url === "/healthz") {
      return answer(this.isLeaving ? 503 : 200, {
        "Oleanderdeck-Instance-Id": id,
      }, "");
    }
    const expected = request.headers["oleanderdeck-expect-instance"];
    if (expected !== undefined && expected !== id) {
      return answer(421, {
        "Oleanderdeck-Instance-Id": id,
        "Oleanderdeck-Not-Executed": "1",
      }, "");
    }
    if (this.#running >= slots) {
      return answer(503, { "Oleanderdeck-Not-Executed": "1" }, "");
    }
    this.#running++;
    const body = Buffer.concat(chunks);
    const run = {
      at: performance.now(),
      worker: id,
      requestId,
      method: request.method,
      path: request.url,
      headers: request.headers,
      rawHeaders: request.rawHeaders,
      body: body.length > 1_000 ? "" : body.toString("latin1"),
      bodyBytes: body.length,
    };
    this.runs.push(run);
    this.options.onRun?.(run);
    await new Promise((resolve) => setTimeout(resolve, workMs));
    this.#running--;
    answer(200, {
      "Oleanderdeck-Server-Stamp": `stamp.${id}`,
    }, `ran ${requestId}`);
  }
}
