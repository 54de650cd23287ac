// Child processes of the hop benchmark: backend server, bare proxy, call server,
// nodes and the platform's store.
import { fork } from "node:child_process";
import { createHash } from "node:crypto";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { Pool } from "undici";
import { Node } from "@oleanderdeck/daemon";
import { OperatorService } from "@oleanderdeck/protocol";
import { nodeSettingsSchema, SystemClock } from "@oleanderdeck/settings";
import { MemoryStore, startPlatformStandIn } from "@oleanderdeck/store";
import {
  BackendStandIn,
  directTarget,
  OpenAdmission,
  OpenPolicy,
  StandaloneCallServer,
} from "@oleanderdeck/testing";
import { BODY } from "./hop_load.ts";

/** Service that all calls address. */
export const SERVICE = "measures";

/** Credential of the calls. */
export const CREDENTIAL = "bandcraft:secret";

/** Loopback addresses of the nodes and the store. */
export const CALLING_HOST = "127.91.1.1";
export const SERVING_HOST = "127.91.1.2";
const STORE_HOST = "127.91.0.1";
const CALL_PORT = 7100;

/** Token of the operator who applies the documents. */
const TOKEN = "operator-token";

/** Running child process. */
export interface Child {
  /** Address on which the process listens. */
  readonly address: string;
  /** Returns the processor time since the previous call, in microseconds. */
  processorTime(): Promise<number>;
  /** Disconnects from the process, which then exits. */
  stop(): void;
}

/** Options of {@linkcode startChild}. */
export interface ChildOptions {
  /** Address of the process to which the role connects. */
  readonly address?: string;
  /** Directory to which the processor profile is written. */
  readonly profile?: string;
}

/** Starts this program as a child process in a role and waits for its address. */
export async function startChild(
  role: string,
  options: ChildOptions = {},
): Promise<Child> {
  const args = ["--role", role, "--address", options.address ?? ""];
  const child = fork(process.argv[1]!, args, {
    execArgv: options.profile === undefined
      ? []
      : ["--cpu-prof", `--cpu-prof-dir=${options.profile}`],
  });
  const nextMessage = () =>
    new Promise<string>((resolve, reject) => {
      const fail = (code: number | null) =>
        reject(
          new Error(`Child process in role ${role} exited with code ${code}`),
        );
      child.once("exit", fail);
      child.once("message", (text) => {
        child.off("exit", fail);
        resolve(String(text));
      });
    });
  return {
    address: await nextMessage(),
    processorTime: () => {
      child.send("processor time");
      return nextMessage().then(Number);
    },
    stop: () => child.disconnect(),
  };
}

/** Runs this process in a role until the parent process disconnects. */
export async function runRole(role: string, address: string): Promise<void> {
  process.once("disconnect", () => process.exit());
  process.send!(await roleStarters[role]!(address));
  let previousUsage = process.cpuUsage();
  // The only message from the parent process requests the processor time.
  process.on("message", () => {
    const used = process.cpuUsage(previousUsage);
    previousUsage = process.cpuUsage();
    process.send!(String(used.user + used.system));
  });
}

/** Starts a role, given the address it connects to, and returns its own. */
type RoleStarter = (address: string) => Promise<string>;

const roleStarters: Readonly<Record<string, RoleStarter>> = {
  backend: (node) =>
    new BackendStandIn({
      service: SERVICE,
      node,
      slots: 140,
      connectionLimit: 930,
      dataCentre: "mid-a",
    }).start(),
  edge: (backend) => {
    // Without a fencing token, which only the worker's own node can issue.
    const target = { ...directTarget(backend), fence: "" };
    const admission = new OpenAdmission({ [SERVICE]: [target] });
    admission.recordsRequests = false;
    const policy = new OpenPolicy({
      services: { [SERVICE]: {} },
      secrets: { bandcraft: "secret" },
    });
    return new StandaloneCallServer({ policy, admission }).start();
  },
  bare: startBareProxy,
  store: async () =>
    (await startPlatformStandIn({
      store: new MemoryStore({ clock: new SystemClock() }),
      host: STORE_HOST,
      port: 9400,
    })).origin,
  calling: async (store) => {
    const address = await startNode(CALLING_HOST, store);
    await applyDocuments();
    return address;
  },
  serving: (store) => startNode(SERVING_HOST, store),
};

/** Starts a proxy that only forwards calls, and returns its address. */
function startBareProxy(backend: string): Promise<string> {
  const pool = new Pool(`http://${backend}`, {
    connections: 64,
    keepAliveTimeout: 60_000,
  });
  const server = createServer(
    { keepAliveTimeout: 65_000 },
    (request, response) => {
      pool.dispatch({
        path: request.url!,
        method: request.method!,
        headers: ["content-length", String(BODY.length)],
        body: request,
      }, {
        onConnect: () => {},
        onHeaders: (status, headers) => {
          const lines = headers.map((part) => part.toString("latin1"));
          response.writeHead(status, lines);
          return true;
        },
        onData: (chunk) => response.write(chunk),
        onComplete: () => void response.end(),
        onError: () => void response.destroy(),
      });
    },
  );
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => {
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    })
  );
}

async function startNode(host: string, store: string): Promise<string> {
  const node = new Node(nodeSettingsSchema.parse({
    callAddress: `${host}:${CALL_PORT}`,
    controlAddress: `${host}:${CALL_PORT + 1}`,
    peerAddress: `${host}:${CALL_PORT + 2}`,
    dataCentre: "mid-a",
    region: "mid",
    peerKeys: ["0123456789abcdef"],
    seeds: [`${CALLING_HOST}:${CALL_PORT + 2}`],
    storeUrl: store,
    operatorTokens: [
      { name: "bench", role: "operator", sha256: sha256(TOKEN) },
    ],
    logLevel: "error",
  }));
  await node.start();
  return `${host}:${CALL_PORT}`;
}

/** Applies the agreement and the policy through the calling node. */
async function applyDocuments(): Promise<void> {
  const client = createClient(
    OperatorService,
    createConnectTransport({
      baseUrl: `http://${CALLING_HOST}:${CALL_PORT + 1}`,
      httpVersion: "2",
      interceptors: [(next) => (call) => {
        call.header.set("authorization", `Bearer ${TOKEN}`);
        return next(call);
      }],
    }),
  );
  const documents = {
    "agreement/bandcraft": {
      organisation: "bandcraft",
      credentials: [{ id: "bench", sha256: sha256("secret") }],
      requests: [
        { service: SERVICE, method: "POST", path: "/", idempotent: true },
      ],
    },
    [`policy/${SERVICE}`]: { service: SERVICE },
  };
  for (const [name, value] of Object.entries(documents)) {
    await client.apply({
      name,
      content: JSON.stringify(value),
      expectedVersion: 0n,
      changeId: name.replace("/", "-"),
    });
  }
}

function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
