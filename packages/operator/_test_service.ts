/**
 * Operator service on a loopback port whose parts are fakes, for the tests of
 * this package and of the command-line tool.
 *
 * @module
 */

import { createHash } from "node:crypto";
import http2 from "node:http2";
import type { AddressInfo } from "node:net";
import { Writable } from "node:stream";
import { create } from "@bufbuild/protobuf";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { type Either, Left, Right } from "purify-ts";
import { AdmissionControl } from "@oleanderdeck/admission";
import { compilePolicy } from "@oleanderdeck/agreement";
import {
  type ChangeOptions,
  DocumentEditor,
  DocumentReplica,
  type DocumentVersionCopy,
} from "@oleanderdeck/configuration";
import { DeckError, type ErrorKind } from "@oleanderdeck/errors";
import { MemberView } from "@oleanderdeck/membership";
import { EventLog } from "@oleanderdeck/observability";
import { MemberSchema, MemberState, WorkerState } from "@oleanderdeck/protocol";
import { type OperatorRole, SystemClock } from "@oleanderdeck/settings";
import { operatorRoutes } from "./operator_routes.ts";
import { RolloutSource, WorkerControl } from "./operator_sources.ts";

type EditResult = Promise<Either<DeckError, DocumentVersionCopy>>;

/** Editor that stores documents in memory. */
export class FakeEditor extends DocumentEditor {
  readonly documents = new Map<string, DocumentVersionCopy>();
  readonly changes = new Map<string, number>();
  /** Error kinds with which the next changes fail, in this order. */
  readonly failures: ErrorKind[] = [];
  version = 0;

  apply(name: string, content: string, options: ChangeOptions): EditResult {
    const failure = this.failures.shift();
    if (failure !== undefined) {
      return Promise.resolve(Left(new DeckError(failure)));
    }
    const stored = this.documents.get(name);
    if (stored?.changeId === options.changeId) {
      return Promise.resolve(Right(stored));
    }
    if ((stored?.version ?? 0) !== options.expectedVersion) {
      return Promise.resolve(Left(new DeckError("conflict")));
    }
    const { changeId } = options;
    const deleted = content === "";
    const copy = { name, content, changeId, version: ++this.version, deleted };
    this.documents.set(name, copy);
    this.changes.set(changeId, copy.version);
    return Promise.resolve(Right(copy));
  }

  async delete(name: string, options: ChangeOptions): EditResult {
    const result = await this.apply(name, "", options);
    if (result.isRight()) this.documents.delete(name);
    return result;
  }

  get(name: string): EditResult {
    const copy = this.documents.get(name);
    return Promise.resolve(
      copy === undefined ? Left(new DeckError("not_found")) : Right(copy),
    );
  }

  list(
    prefix: string,
  ): Promise<Either<DeckError, readonly DocumentVersionCopy[]>> {
    const all = [...this.documents.values()];
    return Promise.resolve(
      Right(all.filter(({ name }) => name.startsWith(prefix))),
    );
  }

  findChange(
    _name: string,
    changeId: string,
  ): Promise<Either<DeckError, number | undefined>> {
    return Promise.resolve(Right(this.changes.get(changeId)));
  }
}

class FakeReplica extends DocumentReplica {
  readonly #editor: FakeEditor;

  constructor(editor: FakeEditor) {
    super();
    this.#editor = editor;
  }

  view = () => compilePolicy(this.documents());
  documents = () => [...this.#editor.documents.values()];
  highestVersion = () => this.#editor.version;
  digest = () => 0n;
  isReady = () => true;
  accept = () => false;
  onChange = () => () => {};
}

class FakeMembers extends MemberView {
  readonly #self = create(MemberSchema, {
    nodeId: "node-1",
    incarnation: 7n,
    state: MemberState.ALIVE,
    dataCentre: "wa-a",
    worker: {
      service: "menus",
      address: "127.0.0.1:9100",
      slots: 40,
      state: WorkerState.SERVING,
    },
  });

  self = () => this.#self;
  members = () => [this.#self];
  find = () => undefined;
  servingMembers = () => [this.#self];
  roundTripMs = () => undefined;
  onChange = () => () => {};
  setWorker = () => {};
  setConfigurationSource = () => {};
}

/** Explains requests with a shed key below 32 as admitted; refuses calls. */
class FakeAdmission extends AdmissionControl {
  admit = () => Left(new DeckError("no_worker"));
  explain = ({ shedKey }: { readonly shedKey: number }) => ({
    refusal: shedKey < 32 ? undefined : "shed_low_priority" as const,
    reasons: ["The service is under pressure"],
  });
  threshold = () => 288;
  services = () => [
    {
      service: "menus",
      running: 3,
      queued: 1,
      slots: 9.6,
      threshold: Infinity,
    },
  ];
  usage = () => [{
    organisation: "lunchtable",
    admitted: 10,
    refused: { queue_full: 2 },
    slotMilliseconds: 12.4,
    borrowedSlotMilliseconds: 0,
  }];
  close = () => Promise.resolve();
}

class FakeWorkers extends WorkerControl {
  drain = (address: string): Promise<Either<DeckError, void>> =>
    Promise.resolve(
      address === "127.0.0.1:9100"
        ? Right(undefined)
        : Left(new DeckError("not_found")),
    );
  undrain = this.drain;
}

class FakeRollout extends RolloutSource {
  count = (): Promise<Either<DeckError, ReadonlyMap<number, number>>> =>
    Promise.resolve(Right(new Map([[0, 1], [1, 5]])));
}

/** Operator service on a loopback port. */
export interface TestService {
  /** `127.0.0.1:port`. */
  readonly address: string;
  readonly editor: FakeEditor;
  /** Lines that were written to the event log. */
  readonly lines: readonly string[];
  /** Destroys all connections. */
  disconnect(): void;
  close(): Promise<void>;
}

/** Tokens that the test service accepts, by role. */
export const TEST_TOKENS = { viewer: "view-token", operator: "change-token" };

/** Starts an operator service whose parts are fakes. */
export async function startTestService(): Promise<TestService> {
  const editor = new FakeEditor();
  const lines: string[] = [];
  const output = new Writable({
    write(chunk, _encoding, done) {
      lines.push(String(chunk));
      done();
    },
  });
  const tokens = Object.entries(TEST_TOKENS).map(([role, token]) => ({
    name: `test-${role}`,
    role: role as OperatorRole,
    sha256: createHash("sha256").update(token).digest("hex"),
  }));
  const routes = operatorRoutes({
    editor,
    replica: new FakeReplica(editor),
    members: new FakeMembers(),
    admission: new FakeAdmission(),
    workers: new FakeWorkers(),
    rollout: new FakeRollout(),
    clock: new SystemClock(),
    tokens,
    log: new EventLog({ level: "info", output }),
  });
  const server = http2.createServer(connectNodeAdapter({ routes }));
  const sessions = new Set<http2.ServerHttp2Session>();
  server.on("session", (session) => sessions.add(session));
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const disconnect = () => sessions.forEach((session) => session.destroy());
  const close = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      disconnect();
    });
  return { address: `127.0.0.1:${port}`, editor, lines, disconnect, close };
}
