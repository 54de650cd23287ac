import type { SessionAnswer, SessionCall } from "./session_call.ts";
import type { SessionFleet } from "./session_fleet.ts";
import type { Reply } from "./session_network.ts";
import {
  REQUEST_TEMPLATES,
  type RequestTemplateName,
} from "./request_templates.ts";

/** Time that a caller waits beyond the request timeout, in milliseconds. */
const CALLER_GRACE_MS = 500;

/** A request with its identity and permit, which may be sent several times. */
export interface PreparedRequest {
  readonly identity: string;
  readonly work: RequestTemplateName;
  permit: string | undefined;
}

/** Options of {@linkcode SessionClients.send}. */
export interface SendOptions {
  readonly caller: string;
  readonly node: string;
  readonly request: PreparedRequest;
  /** Bytes sent before the connection breaks; all by default. */
  readonly arrivingBytes?: number;
}

/** Callers that send requests and operators that change documents. */
export class SessionClients {
  readonly #fleet: SessionFleet;
  readonly #counts = new Map<string, number>();

  /** @param fleet Fleet that the requests are sent to. */
  constructor(fleet: SessionFleet) {
    this.#fleet = fleet;
  }

  /**
   * Prepares a request. A non-idempotent request gets a permit from the node
   * unless the node has been killed.
   */
  prepare(work: RequestTemplateName, nodeId: string): PreparedRequest {
    const number = (this.#counts.get(work) ?? 0) + 1;
    this.#counts.set(work, number);
    const node = this.#fleet.node(nodeId);
    const permit = this.isIdempotent(work) || !node.clock.alive
      ? undefined
      : node.ledger.issue();
    return { identity: `${work} ${number}`, work, permit };
  }

  /**
   * Sends a request, for the first time or again, and records the outcome.
   *
   * @returns The response; undefined if the call to the node failed.
   */
  async send(options: SendOptions): Promise<SessionAnswer | undefined> {
    const { clock, network, recorder, policy } = this.#fleet;
    const { caller, request, node: nodeId } = options;
    const template = REQUEST_TEMPLATES[request.work];
    const number = recorder.nextNumber();
    recorder.record({
      kind: "request_sent",
      caller,
      sending: number,
      identity: request.identity,
      node: nodeId,
      service: template.service,
      work: request.work,
      idempotent: this.isIdempotent(request.work),
      allowance: policy.service(template.service)!.retries,
    });
    const call: SessionCall = {
      ...template,
      sending: number,
      identity: request.identity,
      work: request.work,
      permit: request.permit,
      parent: undefined,
      mode: undefined,
      child: false,
      attempt: 1,
      arrivingBytes: options.arrivingBytes ?? template.bodyBytes,
      bodyEndsCleanly: false,
    };
    const node = this.#fleet.node(nodeId);
    const reply = await Promise.race([
      network.call(node.dataCentre, node, () => node.handle(call)),
      clock.sleep(template.timeoutMs + CALLER_GRACE_MS)
        .then(() => ({ state: "lost" }) as const),
    ]);
    const connected = call.arrivingBytes === call.bodyBytes;
    this.#record(caller, number, connected ? reply : { state: "lost" });
    return reply.state === "answered" ? reply.answer : undefined;
  }

  /** Requests a change of a document at a node, unless it was killed. */
  async change(
    change: {
      readonly operator: string;
      readonly node: string;
      readonly identity: string;
      readonly document: string;
      readonly content: string;
      readonly expectedVersion: number;
    },
  ): Promise<void> {
    const { recorder } = this.#fleet;
    const { operator, document, content, expectedVersion } = change;
    const node = this.#fleet.node(change.node);
    recorder.record({
      kind: "change_asked",
      operator,
      node: change.node,
      change: change.identity,
      document,
      expectedVersion,
    });
    if (!node.clock.alive) return;
    const answer = await node.configuration.editor.apply(document, content, {
      expectedVersion,
      changeId: change.identity,
    });
    await node.clock.waitUntilRunning();
    recorder.record({
      kind: "change_answered",
      operator,
      change: change.identity,
      document,
      ...answer.caseOf<
        { readonly result: "accepted" | "conflict"; readonly version?: number }
      >({
        Right: ({ version }) => ({ result: "accepted", version }),
        Left: ({ kind }) => ({ result: kind as "conflict" }),
      }),
    });
  }

  #record(
    caller: string,
    sending: number,
    reply: Reply<SessionAnswer>,
  ): void {
    const base = { kind: "response_received", caller, sending } as const;
    const { recorder } = this.#fleet;
    if (!("answer" in reply)) {
      return recorder.record({ ...base, result: "lost" });
    }
    const {
      error,
      run,
      requestIdentity,
      bytes,
      totalBytes,
      rejectedAt,
    } = reply.answer;
    const cut = reply.state === "cut" || reply.answer.cut;
    recorder.record(
      error === undefined
        ? {
          ...base,
          result: cut ? "cut" : "complete",
          run,
          requestIdentity,
          bytes,
          totalBytes,
        }
        : { ...base, result: "rejected", error: error.kind, run, rejectedAt },
    );
  }

  /** Reports whether requests from a template may be run more than once. */
  isIdempotent(name: RequestTemplateName): boolean {
    const { organisation, service, method, path } = REQUEST_TEMPLATES[name];
    return this.#fleet.policy.rule({ organisation, service, method, path })
      .idempotent;
  }
}
