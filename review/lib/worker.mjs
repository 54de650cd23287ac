/** Stand-in of a worker, as PROTOCOL.md describes it. */
import { createServer } from "node:http";

export const ID = "oleanderdeck-request-id";
const TIMEOUT = "oleanderdeck-request-timeout-ms";
const EXPECTED = "oleanderdeck-expect-instance";

/** Time for which an idle connection is kept, in milliseconds. */
const IDLE_MS = 10_000;

export class Worker {
  /** Requests that began to run, with the time in milliseconds. */
  runs = [];
  /** Time at which the leaving was acknowledged, in milliseconds. */
  acknowledgedAt = undefined;
  #options;
  #record;
  #sequence = 0;
  #born = Date.now();
  #state = "ready";
  #timer;
  #running = 0;
  #server = createServer((request, response) =>
    void this.#serve(request, response)
  );

  constructor(options) {
    this.#options = options;
    this.#record = options.record;
    this.#server.keepAliveTimeout = IDLE_MS;
    this.#server.requestTimeout = 0;
  }

  get id() {
    return this.#options.id;
  }

  listen() {
    const { host, port } = this.#options;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, 512, resolve);
    });
  }

  /** Sends a heartbeat now and from now on. */
  startHeartbeats() {
    const beat = () => void this.sendHeartbeat();
    this.#timer = setInterval(beat, this.#options.heartbeatMs);
    beat();
  }

  async sendHeartbeat() {
    return await this.#call("PUT", this.takeHeartbeat());
  }

  /** Returns the next heartbeat, to be sent now or delivered late. */
  takeHeartbeat() {
    const { host, port, service, slots, zone } = this.#options;
    return {
      address: `${host}:${port}`,
      born: this.#born,
      info: { service, version: "v1", zone, slots },
      status: { state: this.#state, seq: ++this.#sequence, coldRemainingMs: 0 },
    };
  }

  /** Delivers a heartbeat that was taken earlier and that the network held up. */
  async deliverLate(heartbeat) {
    this.#record.show(
      `${this.id}: heartbeat ${heartbeat.status.seq} arrives late`,
    );
    await this.#call("PUT", heartbeat);
  }

  /** Reports `draining` from now on; resolves to whether it was acknowledged. */
  async drain() {
    this.#state = "draining";
    const isAcknowledged = await this.sendHeartbeat();
    this.#record.show(
      `${this.id}: reports draining; acknowledged: ${isAcknowledged}`,
    );
    if (isAcknowledged) this.acknowledgedAt = this.#record.now;
    return isAcknowledged;
  }

  /**
   * Sends a heartbeat as another writer may: it names this worker, but has no
   * zone, no version and no `coldRemainingMs`, and counts by a clock of its own.
   */
  async sendOddHeartbeat() {
    const { host, port, service, slots } = this.#options;
    this.#record.show(`${this.id}: a heartbeat of another writer arrives`);
    return await this.#call("PUT", {
      address: `${host}:${port}`,
      born: this.#born,
      info: { service, slots },
      status: { state: "ready", seq: Date.now() },
    });
  }

  /**
   * Leaves by a DELETE, without having reported `draining`, and goes on serving.
   * Resolves to whether the node acknowledged it.
   */
  async leave() {
    clearInterval(this.#timer);
    const isAcknowledged = await this.#call("DELETE", { born: this.#born });
    this.#record.show(
      `${this.id}: leaves; acknowledged: ${isAcknowledged}`,
    );
    if (isAcknowledged) this.acknowledgedAt = this.#record.now;
    return isAcknowledged;
  }

  /** Ends the worker. */
  close() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #call(method, content) {
    const { controlPort, host, id } = this.#options;
    try {
      const answer = await fetch(
        `http://${host}:${controlPort}/instances/${id}`,
        {
          method,
          headers: { "content-type": "application/json" },
          body: JSON.stringify(content),
          signal: AbortSignal.timeout(1_000),
        },
      );
      await answer.text();
      return answer.ok;
    } catch {
      // The node is down; a later heartbeat may arrive.
      return false;
    }
  }

  async #serve(request, response) {
    const { service } = this.#options;
    const { workMs: drawMs } = this.#options;
    const workMs = typeof drawMs === "function" ? drawMs() : drawMs;
    const requestId = request.headers[ID];
    let bytes = 0;
    try {
      for await (const chunk of request) bytes += chunk.length;
    } catch {
      return;
    }
    if (request.url === this.#options.healthCheck) {
      return void response.writeHead(200).end();
    }
    const refuse = (status, headers) =>
      response.writeHead(status, {
        ...(requestId && { [ID]: requestId }),
        "content-length": 0,
        ...headers,
      }).end();
    const expected = request.headers[EXPECTED];
    if (expected !== undefined && expected !== this.id) {
      return refuse(421, { "oleanderdeck-instance-id": this.id });
    }
    if (requestId === undefined || this.#running >= this.#options.slots) {
      return refuse(requestId === undefined ? 400 : 503, {
        "oleanderdeck-not-executed": "1",
      });
    }
    this.#running++;
    const run = {
      at: this.#record.now,
      requestId,
      bytes,
      workMs,
      caller: request.headers["oleanderdeck-caller-service"],
      timeoutMs: Number(request.headers[TIMEOUT]),
    };
    this.runs.push(run);
    this.#record.line(
      `${this.id}: runs ${requestId} ${request.method} ${request.url} ` +
        `${bytes} bytes`,
    );
    const timer = setTimeout(() => {
      this.#running--;
      run.endedAt = this.#record.now;
      const body = `${service} ran ${requestId}`;
      response.writeHead(200, {
        [ID]: requestId,
        "oleanderdeck-server-stamp": `stamp-${requestId}`,
        "content-length": Buffer.byteLength(body),
      }).end(body);
    }, workMs);
    // A worker drops a request when its connection closes.
    response.on("close", () => {
      if (run.endedAt !== undefined) return;
      clearTimeout(timer);
      this.#running--;
      run.endedAt = this.#record.now;
      run.isDropped = true;
    });
  }
}
