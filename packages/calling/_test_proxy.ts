import { connect, type Socket } from "node:net";
import {
  type Configuration,
  ConfigurationHolder,
  type Organisation,
} from "@oleanderdeck/directory";
import {
  type HeaderNames,
  MemoryAccount,
  type WorkerCall,
  type WorkerResult,
} from "@oleanderdeck/serving";
import { CallerProxy, type ProxyRefusal, type RequestQuota } from "./mod.ts";
import { TestChannel } from "./_test_channel.ts";

const NAMES: HeaderNames = {
  requestId: "x-request",
  timeLeftMs: "x-time-left",
  answerSignature: "x-signature",
  expectedWorker: "x-expected-worker",
  notRun: "x-not-run",
  requestsPerSecond: "x-requests-per-second",
  leaving: "x-leaving",
  callerService: "x-caller-service",
  credential: "x-credential",
  organisation: "x-organisation",
};

/** Answer as a caller reads it. */
export interface ReadAnswer {
  readonly status: number;
  readonly requestId: string | undefined;
  readonly isClosing: boolean;
}

/** Caller that writes raw bytes and collects the answers. */
export class RawCaller {
  readonly socket: Socket;
  text = "";
  error: Error | undefined;

  constructor(port: number) {
    this.socket = connect(port, "127.0.0.1");
    this.socket.setNoDelay(true);
    this.socket.on("data", (chunk) => this.text += chunk.toString("latin1"));
    this.socket.on("error", (error) => {
      this.error = error;
      this.socket.destroy();
    });
  }

  get answers(): readonly ReadAnswer[] {
    return this.text.split("HTTP/1.1 ").slice(1).map((text) => ({
      status: Number(text.slice(0, 3)),
      requestId: /x-request: (\S+)/i.exec(text)?.[1],
      isClosing: /connection: close/i.test(text),
    }));
  }
}

/** Options of {@linkcode startProxy}. */
export interface TestProxyOptions {
  /** Returns the delay of an answer, in milliseconds. */
  readonly delayMs?: (requestId: string) => number;
  readonly pressureOf?: () => number;
  readonly admittedShare?: () => number | undefined;
  readonly parentRequestOf?: (requestId: string) => WorkerCall | undefined;
  /** Body of each answer; that of the request if omitted. */
  readonly answerBody?: Buffer;
  readonly maxBodyBytes?: number;
  /** Bytes of bodies that may be held at the same time. */
  readonly maxHeldBytes?: number;
  /** Organisations of the configuration; none if omitted. */
  readonly organisations?: readonly Organisation[];
  readonly isConfigurationPossiblyOutdated?: () => boolean;
  readonly mayUseCredentials?: () => boolean;
  /** Bytes of requests apart from their bodies that may be held. */
  readonly maxRequestBytes?: number;
  /** Limits of the organisations; none if omitted. */
  readonly quota?: RequestQuota;
}

/**
 * Returns an account with one limit for each holder and the sum, and one for the
 * requests apart from their bodies, in bytes.
 */
export function testAccount(
  bytes: number,
  requestBytes = 10_000_000,
): MemoryAccount {
  return new MemoryAccount(() => ({
    sums: { requests: bytes, answers: bytes, kept: bytes, heads: requestBytes },
    small: 0,
    holders: {
      client_bodies: bytes,
      peer_calls: bytes,
      worker_answers: bytes,
      waiting_answers: bytes,
      kept_answers: bytes,
      client_requests: requestBytes,
    },
  }));
}

/** Starts a proxy with one worker, and a caller of it. */
export async function startProxy(
  {
    answerBody,
    delayMs = () => 0,
    pressureOf = () => 0,
    admittedShare = () => undefined,
    parentRequestOf = () => undefined,
    maxBodyBytes = 1_000,
    maxHeldBytes = 100_000,
    organisations = [],
    isConfigurationPossiblyOutdated = () => false,
    mayUseCredentials = () => true,
    maxRequestBytes,
    quota,
  }: TestProxyOptions = {},
) {
  const configuration = new ConfigurationHolder();
  const firstConfiguration: Configuration = {
    version: 1,
    organisations,
    routes: [{
      name: "route",
      host: "test.example",
      pathPrefix: "/",
      isIdempotent: true,
      timeoutMs: 5_000,
      latencyTargetMs: 500,
      maxAttempts: 1,
      priority: 0,
      shares: [{ service: "menus", weight: 1 }],
    }],
    services: [],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 5_000,
    },
  };
  configuration.put(firstConfiguration, "store");
  const account = testAccount(maxHeldBytes, maxRequestBytes);
  const channel = new TestChannel("host-1", () => undefined);
  const ran: string[] = [];
  const unexpectedErrors: unknown[] = [];
  const refusals: ProxyRefusal[] = [];
  channel.run = (call, { finish }) => {
    ran.push(call.requestId);
    channel.calls.push(call);
    const result: WorkerResult = {
      kind: "answer",
      status: 200,
      headers: ["x-signature", "s"],
      isRefusedBelow: false,
      body: answerBody ?? call.body,
    };
    const delay = delayMs(call.requestId);
    if (delay < Infinity) setTimeout(() => finish(result), delay);
    return { cancel: () => channel.cancelled.push(call.requestId) };
  };
  const proxy = new CallerProxy({
    names: NAMES,
    callerService: "bookings",
    dataCentre: "wa-a",
    configuration,
    channels: () => [channel],
    pressureOf,
    admittedShare,
    onNestedCall: () => undefined,
    account,
    parentRequestOf,
    onRefusedBelow: () => undefined,
    onListenerError: (error) => {
      throw error;
    },
    onUnexpectedError: (error) => unexpectedErrors.push(error),
    isConfigurationPossiblyOutdated,
    observer: {
      onSent: () => undefined,
      onAttemptFailed: () => undefined,
      onRepeat: () => undefined,
      onAnswered: () => undefined,
      onCancelled: () => undefined,
      onClientLimit: () => undefined,
      onRefused: (refusal) => void refusals.push(refusal),
    },
    mayUseCredentials,
    ...(quota !== undefined && { quota }),
  });
  const port = await proxy.listen("127.0.0.1", 0);
  const caller = new RawCaller(port);
  const close = () => {
    caller.socket.destroy();
    proxy.close();
  };
  return {
    proxy,
    port,
    configuration,
    account,
    caller,
    channel,
    ran,
    firstConfiguration,
    refusals,
    unexpectedErrors,
    close,
  };
}

/** Returns a request without a body. */
export const requestText = (requestId: string) =>
  `GET /menus HTTP/1.1\r\nhost: test.example\r\nx-request: ${requestId}\r\n\r\n`;
