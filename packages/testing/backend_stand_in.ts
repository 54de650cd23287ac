import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request as sendRequest } from "undici";
import {
  FENCE_FIELD,
  REQUEST_FIELD,
  RUN_FIELD,
  TIMEOUT_FIELD,
} from "@oleanderdeck/protocol";
import {
  type BackendBehaviour,
  backendBehaviourSchema,
  type BackendDescription,
  findScript,
  type ScriptedRequest,
  ServiceTimes,
} from "./backend_behaviour.ts";
import { ChildCaller } from "./_child_caller.ts";
import { ExecutionRecord } from "./execution_record.ts";
import { isStaleFencingToken } from "./fencing_token.ts";
import {
  BODY_BYTE,
  BODY_HASH_FIELD,
  readBody,
  readText,
  refuse,
  sendJson,
  sha256,
} from "./_stand_in_http.ts";

export { BODY_HASH_FIELD };

/** Path prefix of the control endpoints of a backend stand-in. */
export const STAND_IN_PREFIX = "/stand-in/v1/";

/** Interval of registration renewals, in milliseconds. */
const RENEWAL_MS = 1000;

/** Time until a draining backend server receives no new requests, in milliseconds. */
const DRAIN_WAIT_MS = 3000;

/** Timeout of a request without a timeout field, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 30_000;

/** Backend server for tests and the demo, driven by a JSON description. */
export class BackendStandIn {
  /** Behaviour with all defaults filled in. */
  readonly behaviour: BackendBehaviour;
  /** Executions and refusals so far. */
  readonly record = new ExecutionRecord();
  /** Factor by which every service time is multiplied. */
  slowFactor = 1;

  readonly #server: Server;
  readonly #serviceTimes: ServiceTimes;
  readonly #agent = new Agent({ connections: 256, keepAliveTimeout: 20_000 });
  readonly #childCaller: ChildCaller;
  readonly #cachedAnswers = new Map<number, { body: Buffer; hash: string }>();
  #address = "";
  #inFlight = 0;
  #state: "serving" | "draining" = "serving";
  #lowestFence = "";
  #renewal: NodeJS.Timeout | undefined;
  #drained: Promise<void> | undefined;

  /**
   * @param description JSON description.
   * @throws {z.ZodError} If the description does not match the schema.
   */
  constructor(description: BackendDescription) {
    this.behaviour = backendBehaviourSchema.parse(description);
    this.#serviceTimes = new ServiceTimes(this.behaviour.seed);
    this.#childCaller = new ChildCaller(this.behaviour.node, {
      agent: this.#agent,
      onFailure: () => this.record.counts.failedCalls++,
    });
    this.#server = createServer(
      { keepAliveTimeout: 65_000 },
      (request, response) => this.#handleRequest(request, response),
    );
    // Node.js would leave out all fields behind the first 1,000.
    this.#server.maxHeadersCount = 0;
  }

  /** Number of requests that hold a slot. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Address as host:port; empty before {@linkcode start}. */
  get address(): string {
    return this.#address;
  }

  /**
   * Starts listening, and registers with the node if there is one.
   *
   * @returns The address as host:port.
   */
  async start(): Promise<string> {
    const [host, port] = splitAddress(this.behaviour.listen);
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    this.#address = `${host}:${(this.#server.address() as AddressInfo).port}`;
    if (this.behaviour.node !== undefined) {
      await this.#register();
      this.#renewal = setInterval(() => void this.#register(), RENEWAL_MS);
    }
    return this.#address;
  }

  /** Registers as draining, so that the node sends no further requests. */
  async drain(): Promise<void> {
    this.#state = "draining";
    if (this.behaviour.node !== undefined) await this.#register();
  }

  /**
   * Drains, waits until no request is in flight, and closes; joins the same if it
   * is under way.
   */
  drainAndClose(): Promise<void> {
    return this.#drained ??= this.#drainAndClose();
  }

  async #drainAndClose(): Promise<void> {
    await this.drain();
    if (this.behaviour.node !== undefined) await sleep(DRAIN_WAIT_MS);
    while (this.#inFlight > 0) await sleep(10);
    await this.close();
  }

  /** Closes immediately and aborts requests in flight. */
  async close(): Promise<void> {
    clearInterval(this.#renewal);
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#server.closeAllConnections();
    await Promise.all([closed, this.#agent.destroy()]);
  }

  async #register(): Promise<void> {
    const { service, slots, connectionLimit, dataCentre, warmUpMs, node } =
      this.behaviour;
    try {
      const answer = await sendRequest(
        `http://${node}/oleanderdeck/v1/backend-server`,
        {
          method: "PUT",
          dispatcher: this.#agent,
          headers: { "content-type": "application/json" },
          body: JSON.stringify({
            service,
            address: this.#address,
            slots,
            connectionLimit,
            dataCentre,
            warmUpMs,
            state: this.#state,
          }),
          signal: AbortSignal.timeout(RENEWAL_MS),
        },
      );
      const document = await answer.body.json() as { lowestFence?: string };
      if (answer.statusCode === 200) {
        this.#lowestFence = document.lowestFence ?? "";
      }
    } catch {
      // The node may be restarting; the next renewal tries again.
    }
  }

  #handleRequest(request: IncomingMessage, response: ServerResponse): void {
    response.on("error", () => {});
    if (request.url!.startsWith(STAND_IN_PREFIX)) {
      this.#handleControlRequest(request, response).catch(() =>
        response.destroy()
      );
      return;
    }
    const path = request.url!.split("?")[0]!;
    const script = findScript(this.behaviour, {
      method: request.method!,
      path,
    });
    if (script === undefined) return refuse(request, response, 404);
    const fence = request.headers[FENCE_FIELD];
    if (isStaleFencingToken(String(fence ?? ""), this.#lowestFence)) {
      this.record.counts.refusedFence++;
      return refuse(request, response, 503);
    }
    if (this.#inFlight >= this.behaviour.slots) {
      this.record.counts.refusedFull++;
      return refuse(request, response, 503);
    }
    this.#inFlight++;
    this.#run(script, request, response)
      .catch(() => response.destroy())
      .finally(() => this.#inFlight--);
  }

  async #run(
    script: ScriptedRequest,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { counts } = this.record;
    const deadline = performance.now() +
      Number(request.headers[TIMEOUT_FIELD] ?? DEFAULT_TIMEOUT_MS);
    const disconnected = new AbortController();
    response.once("close", () => disconnected.abort());
    const hashMatches = await readBody(request);
    if (hashMatches === undefined) {
      counts.cutBodies++;
      response.destroy();
      return;
    }
    if (!hashMatches) {
      counts.corruptBodies++;
      return refuse(request, response, 422);
    }
    this.record.recordStart(
      String(request.headers[REQUEST_FIELD] ?? ""),
      request.method!,
    );
    const failed = await this.#childCaller.callAll(script.calls, request, {
      deadline,
      signal: disconnected.signal,
    });
    const delay = this.#serviceTimes.draw(script.serviceTime) * this.slowFactor;
    if (delay > 0 && !disconnected.signal.aborted) {
      await sleep(delay, undefined, { signal: disconnected.signal }).catch(
        () => {},
      );
    }
    if (disconnected.signal.aborted) {
      counts.cancelled++;
      return;
    }
    counts.finished++;
    this.#answer(response, script, failed);
  }

  #answer(
    response: ServerResponse,
    script: ScriptedRequest,
    failed: boolean,
  ): void {
    const bytes = script.answerBytes;
    let answer = this.#cachedAnswers.get(bytes);
    if (answer === undefined) {
      const body = Buffer.alloc(bytes, BODY_BYTE);
      answer = { body, hash: sha256(body) };
      this.#cachedAnswers.set(bytes, answer);
    }
    response.writeHead(failed ? 502 : script.status, [
      "content-type",
      "application/octet-stream",
      "content-length",
      String(bytes),
      BODY_HASH_FIELD,
      answer.hash,
      RUN_FIELD,
      "yes",
    ]);
    response.end(answer.body);
  }

  async #handleControlRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const name = `${request.method} ${
      request.url!.slice(STAND_IN_PREFIX.length)
    }`;
    switch (name) {
      case "PUT slow-factor":
        this.slowFactor = Number(await readText(request));
        return sendJson(response, { slowFactor: this.slowFactor });
      case "POST drain":
        await this.drain();
        return sendJson(response, this.#describeState());
      case "GET state":
        return sendJson(response, this.#describeState());
      case "GET executions":
        return sendJson(response, this.record.executionCounts());
      default:
        return refuse(request, response, 404);
    }
  }

  #describeState(): unknown {
    return {
      service: this.behaviour.service,
      address: this.#address,
      state: this.#state,
      inFlight: this.#inFlight,
      slowFactor: this.slowFactor,
      lowestFence: this.#lowestFence,
      counts: this.record.counts,
      duplicates: this.record.duplicates(),
      duplicatePosts: this.record.duplicatePosts(),
    };
  }
}

function splitAddress(address: string): [string, number] {
  const colon = address.lastIndexOf(":");
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
