import type { IncomingMessage, ServerResponse } from "node:http";
import { defineEventHandler, H3, type H3Event, HTTPError } from "h3";
import { toNodeHandler } from "h3/node";
import { request as sendRequest } from "undici";
import { DeckError, ERROR_DETAILS } from "@oleanderdeck/errors";
import { type Outcome, type Permit } from "@oleanderdeck/idempotency";
import { MemberState } from "@oleanderdeck/protocol";
import type { CallServerOptions } from "./call_server_options.ts";
import { refusalBody, refusalHeaders } from "./_refusal.ts";

/** Maximum size of a registration document in bytes. */
const MAXIMUM_DOCUMENT_BYTES = 16_384;

/** Timeout for fetching an outcome from the issuer of a permit, in ms. */
const OUTCOME_TIMEOUT_MS = 2000;

/** HTTP handler of the control endpoints below `/oleanderdeck/v1/`. */
export type ControlHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => unknown;

/**
 * Creates the handler of the control endpoints on the call port.
 *
 * @param options Dependencies of the call server.
 * @param isDraining Returns whether new calls are refused.
 */
export function controlHandler(
  options: CallServerOptions,
  isDraining: () => boolean,
): ControlHandler {
  const app = new H3();
  app.get("/oleanderdeck/v1/health", () => {
    const ready = options.policy() !== undefined &&
      (options.ready?.() ?? true) && !isDraining();
    const state = isDraining() ? "draining" : ready ? "ready" : "not_ready";
    return json(ready ? 200 : 503, {
      state,
      nodeId: options.members.self().nodeId,
    });
  });
  app.post(
    "/oleanderdeck/v1/permits",
    () =>
      isDraining()
        ? refusal(new DeckError("draining"))
        : json(201, { permit: options.permitLedger.issue() }),
  );
  app.get(
    "/oleanderdeck/v1/requests/:permit",
    (event) => outcomeOf(options, event.context.params?.["permit"] ?? ""),
  );
  app.put(
    "/oleanderdeck/v1/backend-server",
    defineEventHandler((event) => register(options, event)),
  );
  return toNodeHandler(app) as ControlHandler;
}

async function register(
  options: CallServerOptions,
  event: H3Event,
): Promise<Response> {
  if (!isSameHost(event.runtime?.node?.req as IncomingMessage | undefined)) {
    return refusal(
      new DeckError("not_authorised", {
        message: "A backend server registers with the node on its own host",
      }),
    );
  }
  const document = await readJson(event);
  if (document === undefined) {
    return refusal(new DeckError("malformed_request"));
  }
  return options.registration.put(document).caseOf({
    Left: refusal,
    Right: (result) => json(200, result),
  });
}

async function readJson(event: H3Event): Promise<unknown> {
  const length = Number(event.req.headers.get("content-length") ?? NaN);
  if (!(length <= MAXIMUM_DOCUMENT_BYTES)) {
    throw new HTTPError({ status: 413 });
  }
  try {
    return await event.req.json();
  } catch {
    return undefined;
  }
}

/** Whether the request comes from the host of this node. */
function isSameHost(request: IncomingMessage | undefined): boolean {
  const remote = request?.socket.remoteAddress;
  return remote !== undefined &&
    (remote === request!.socket.localAddress ||
      /^(::ffff:)?127\.|^::1$/.test(remote));
}

/** Responds with the outcome of the request that has a permit. */
function outcomeOf(
  options: CallServerOptions,
  text: string,
): Response | Promise<Response> {
  return options.permitLedger.check(text).caseOf<Response | Promise<Response>>({
    Left: refusal,
    Right: (permit) =>
      options.permitLedger.isOwn(permit)
        ? json(200, describeOutcome(options.permitLedger.outcome(permit)))
        : fetchOutcomeFromIssuer(options, permit, text),
  });
}

async function fetchOutcomeFromIssuer(
  options: CallServerOptions,
  permit: Permit,
  text: string,
): Promise<Response> {
  const member = options.members.find(permit.nodeId);
  const issuerGone = member === undefined ||
    member.incarnation !== permit.incarnation ||
    member.state === MemberState.DEAD || member.state === MemberState.LEFT;
  if (issuerGone) return json(200, describeOutcome({ state: "unknown" }));
  try {
    const answer = await sendRequest(
      `http://${member.callAddress}/oleanderdeck/v1/requests/${text}`,
      { signal: AbortSignal.timeout(OUTCOME_TIMEOUT_MS) },
    );
    return json(answer.statusCode, await answer.body.json());
  } catch {
    return refusal(
      new DeckError("connection_lost", {
        message: "The node that issued the permit gave no answer",
      }),
    );
  }
}

function describeOutcome(outcome: Outcome | "running" | undefined): unknown {
  if (outcome === undefined) return { state: "not_run", run: "no" };
  if (outcome === "running") return { state: "running", run: "unknown" };
  switch (outcome.state) {
    case "answered":
      return {
        state: "answered",
        run: "yes",
        status: outcome.answer?.status,
        answerKept: outcome.answer !== undefined,
      };
    case "unknown":
      return { state: "unknown", run: "unknown" };
    case "not_run":
      return { state: "not_run", run: "no" };
  }
}

function json(status: number, value: unknown): Response {
  return Response.json(value, { status });
}

function refusal(error: DeckError): Response {
  const fields = refusalHeaders(error);
  const headers = new Headers({ "content-type": "application/json" });
  for (let index = 0; index < fields.length; index += 2) {
    headers.set(fields[index]!, fields[index + 1]!);
  }
  return new Response(refusalBody(error), {
    status: ERROR_DETAILS[error.kind].status,
    headers,
  });
}
