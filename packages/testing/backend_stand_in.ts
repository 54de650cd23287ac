import { createHash } from "node:crypto";
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
  CONTEXT_FIELD,
  FENCE_FIELD,
  REQUEST_FIELD,
  RUN_FIELD,
  TIMEOUT_FIELD,
} from "@oleanderdeck/protocol";
import {
  type BackendBehaviour,
  backendBehaviourSchema,
  type BackendDescription,
  type ChildCall,
  findScript,
  type ScriptedRequest,
  ServiceTimes,
} from "./backend_behaviour.ts";
import { ExecutionRecord } from "./execution_record.ts";

/** SHA-256 of a whole body in hexadecimal, sent and checked by both sides. */
export const BODY_HASH_FIELD = "x-body-sha256";

/** Prefix of the control endpoints of a backend stand-in. */
export const STAND_IN_PREFIX = "/stand-in/v1/";

/** Time between two renewals of the registration, in milliseconds. */
const RENEWAL_MS = 1000;

/** Time after which a leaving backend server gets no new work, in ms. */
const LEAVE_MS = 3000;

/** Time for a request without a timeout field, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 30_000;

const ANSWER_BYTE = 0x6f;

const FENCE = /^\d{1,20}\.\d{1,20}$/;

/** Backend server for tests and the demo, driven by a JSON description. */
export class BackendStandIn {
  /** Behaviour with all defaults filled in. */
  readonly behaviour: BackendBehaviour;
  /** What was executed. */
  readonly record = new ExecutionRecord();
  /** Factor by which every service time is multiplied. */
  slowFactor = 1;

  readonly #server: Server;
  readonly #times: ServiceTimes;
  readonly #agent = new Agent({ connections: 256, keepAliveTimeout: 20_000 });
  readonly #answers = new Map<number, { body: Buffer; hash: string }>();
  #address = "";
  #inFlight = 0;
  #state: "serving" | "draining" = "serving";
  #lowestFence = "";
  #renewal: NodeJS.Timeout | undefined;

  /**
   * @param description JSON description.
   * @throws {z.ZodError} If the description has another shape.
   */
  constructor(description: BackendDescription) {
    this.behaviour = backendBehaviourSchema.parse(description);
    this.#times = new ServiceTimes(this.behaviour.seed);
    this.#server = createServer(
      { keepAliveTimeout: 65_000 },
      (request, response) => this.#accept(request, response),
    );
  }

  /** Requests that hold a slot. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Address as host:port, once started. */
  get address(): string {
    return this.#address;
  }

  /**
   * Listens, and registers with the node if there is one.
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

  /** Tells the node that this backend server leaves. */
  async drain(): Promise<void> {
    this.#state = "draining";
    if (this.behaviour.node !== undefined) await this.#register();
  }

  /** Leaves without cutting off work: drains, waits, then stops listening. */
  async leave(): Promise<void> {
    await this.drain();
    if (this.behaviour.node !== undefined) await sleep(LEAVE_MS);
    while (this.#inFlight > 0) await sleep(10);
    await this.close();
  }

  /** Stops at once. Requests in flight are cut off. */
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
      // The node may be restarting; the next renewal registers again.
    }
  }

  #accept(request: IncomingMessage, response: ServerResponse): void {
    response.on("error", () => {});
    if (request.url!.startsWith(STAND_IN_PREFIX)) {
      this.#control(request, response).catch(() => response.destroy());
      return;
    }
    const path = request.url!.split("?")[0]!;
    const script = findScript(this.behaviour, {
      method: request.method!,
      path,
    });
    if (script === undefined) return refuse(request, response, 404);
    const fence = request.headers[FENCE_FIELD];
    if (isStaleFence(String(fence ?? ""), this.#lowestFence)) {
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
    const gone = new AbortController();
    response.once("close", () => gone.abort());
    const isWhole = await readBody(request);
    if (isWhole === undefined) {
      counts.cutBodies++;
      response.destroy();
      return;
    }
    if (!isWhole) {
      counts.corruptBodies++;
      return refuse(request, response, 422);
    }
    this.record.start(
      String(request.headers[REQUEST_FIELD] ?? ""),
      request.method!,
    );
    const failed = await this.#callAll(script.calls, request, {
      deadline,
      signal: gone.signal,
    });
    const delay = this.#times.draw(script.serviceTime) * this.slowFactor;
    if (delay > 0 && !gone.signal.aborted) {
      await sleep(delay, undefined, { signal: gone.signal }).catch(() => {});
    }
    if (gone.signal.aborted) {
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
    let answer = this.#answers.get(bytes);
    if (answer === undefined) {
      const body = Buffer.alloc(bytes, ANSWER_BYTE);
      answer = { body, hash: sha256(body) };
      this.#answers.set(bytes, answer);
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

  /** Makes the calls of a script; true when a required one has failed. */
  async #callAll(
    calls: readonly ChildCall[],
    request: IncomingMessage,
    bounds: { readonly deadline: number; readonly signal: AbortSignal },
  ): Promise<boolean> {
    for (const call of calls) {
      if (bounds.signal.aborted) return true;
      const whole = await this.#call(call, request, bounds);
      if (whole) continue;
      this.record.counts.failedCalls++;
      if (call.required) return true;
    }
    return false;
  }

  async #call(
    call: ChildCall,
    request: IncomingMessage,
    bounds: { readonly deadline: number; readonly signal: AbortSignal },
  ): Promise<boolean> {
    const left = Math.floor(bounds.deadline - performance.now());
    if (left <= 0) return false;
    const body = call.bodyBytes === 0
      ? null
      : Buffer.alloc(call.bodyBytes, ANSWER_BYTE);
    const context = request.headers[CONTEXT_FIELD];
    try {
      const answer = await sendRequest(
        `http://${this.behaviour.node}/${call.service}${call.path}`,
        {
          method: call.method,
          dispatcher: this.#agent,
          headers: {
            [TIMEOUT_FIELD]: String(left),
            ...(context === undefined ? {} : { [CONTEXT_FIELD]: context }),
            ...(body === null ? {} : { [BODY_HASH_FIELD]: sha256(body) }),
          },
          body,
          signal: bounds.signal,
        },
      );
      const hash = answer.headers[BODY_HASH_FIELD];
      const received = Buffer.from(await answer.body.arrayBuffer());
      return answer.statusCode < 400 &&
        (hash === undefined || hash === sha256(received));
    } catch {
      return false;
    }
  }

  async #control(
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
        return sendJson(response, this.#report());
      case "GET state":
        return sendJson(response, this.#report());
      case "GET executions":
        return sendJson(response, this.record.identities());
      default:
        return refuse(request, response, 404);
    }
  }

  #report(): unknown {
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

/**
 * Tells whether a fencing token `<incarnation>.<epoch>`, two decimal numbers,
 * is lower than the lowest valid one. A request without a token is not fenced.
 */
export function isStaleFence(token: string, lowest: string): boolean {
  if (token === "" || lowest === "") return false;
  if (!FENCE.test(token) || !FENCE.test(lowest)) return true;
  const [incarnation, epoch] = token.split(".").map(BigInt);
  const [lowestIncarnation, lowestEpoch] = lowest.split(".").map(BigInt);
  return incarnation! < lowestIncarnation! ||
    incarnation === lowestIncarnation && epoch! < lowestEpoch!;
}

/** Reads a body: undefined when cut, else whether the stated hash fits. */
async function readBody(
  request: IncomingMessage,
): Promise<boolean | undefined> {
  const expected = request.headers[BODY_HASH_FIELD];
  const hash = expected === undefined ? undefined : createHash("sha256");
  try {
    for await (const chunk of request) hash?.update(chunk as Buffer);
  } catch {
    return undefined;
  }
  return hash === undefined || hash.digest("hex") === expected;
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

function refuse(
  request: IncomingMessage,
  response: ServerResponse,
  status: number,
): void {
  response.writeHead(status, ["content-length", "0", RUN_FIELD, "no"]);
  response.end();
  request.resume();
}

function sendJson(response: ServerResponse, value: unknown): void {
  response.writeHead(200, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}

function sha256(bytes: Uint8Array): string {
  return createHash("sha256").update(bytes).digest("hex");
}

function splitAddress(address: string): [string, number] {
  const colon = address.lastIndexOf(":");
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
