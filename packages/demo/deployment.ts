import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { z } from "zod";
import { formatIssue, readJsonc } from "@oleanderdeck/settings";
import {
  backendBehaviourSchema,
  type BackendDescription,
} from "@oleanderdeck/testing";

/** Ports of each process, the same on every host of a demonstration. */
export const PORTS = { call: 7100, control: 7101, peer: 7102, backend: 8080 };

/** Number of hosts that nodes contact first to join the fleet. */
const SEED_COUNT = 3;

const hostSchema = z.strictObject({
  dataCentre: z.string(),
  ip: z.ipv4().refine(
    (ip) => ip.startsWith("127."),
    "A loopback address is expected",
  ),
});

const serviceSchema = z.strictObject({
  service: z.string(),
  slots: z.int().min(1),
  connectionLimit: z.int().min(1),
  hosts: z.array(hostSchema).min(1),
  requests: backendBehaviourSchema.shape.requests,
});

/** Schema of a deployment description. */
export const deploymentSchema = z.strictObject({
  name: z.string(),
  region: z.string(),
  platformAddress: z.string(),
  demo: z.strictObject({
    slowService: z.string(),
    killedHost: z.string(),
    stoppedHost: z.string(),
  }),
  services: z.array(serviceSchema).min(1),
});

/** Hosts and services of a deployment. */
export type Deployment = Readonly<z.output<typeof deploymentSchema>>;

/** One host, its addresses, and the files that configure its processes. */
export interface DeployedHost {
  readonly service: string;
  readonly dataCentre: string;
  readonly ip: string;
  readonly callAddress: string;
  readonly controlAddress: string;
  readonly backendAddress: string;
  /** Path of the settings of the node. */
  readonly settingsFile: string;
  /** Path of the behaviour description of the backend server. */
  readonly behaviourFile: string;
}

/** Secrets of a demonstration. */
export interface DeploymentSecrets {
  /** Key with which nodes authenticate to each other. */
  readonly peerKey: string;
  /** SHA-256 of the operator token, in hexadecimal. */
  readonly operatorTokenHash: string;
}

/** Options of {@linkcode writeHosts}. */
export interface WriteHostsOptions extends DeploymentSecrets {
  /** Directory to write the files to; created if it does not exist. */
  readonly directory: string;
}

/**
 * Reads a deployment description.
 *
 * @param path Path of a file in JSON with comments.
 * @throws {Error} If the file is invalid. The message lists all faults.
 */
export function readDeployment(path: string): Deployment {
  return readJsonc(readFileSync(path, "utf8"), deploymentSchema).caseOf({
    Left: (faults) => {
      throw new Error(
        faults.map((fault) => formatIssue(path, fault)).join("\n"),
      );
    },
    Right: (deployment) => deployment,
  });
}

/**
 * Writes the settings of each node and the behaviour description of each
 * backend server.
 *
 * @param deployment Deployment description.
 * @param options Directory and secrets.
 * @returns The hosts in the order of the description.
 */
export function writeHosts(
  deployment: Deployment,
  options: WriteHostsOptions,
): readonly DeployedHost[] {
  const { directory, operatorTokenHash, peerKey } = options;
  mkdirSync(directory, { recursive: true });
  const entries = deployment.services.flatMap((service) =>
    service.hosts.map((host) => ({ service, host }))
  );
  const seeds = entries.slice(0, SEED_COUNT)
    .map(({ host }) => `${host.ip}:${PORTS.peer}`);
  return entries.map(({ host: { dataCentre, ip }, service }, index) => {
    const deployed: DeployedHost = {
      service: service.service,
      dataCentre,
      ip,
      callAddress: `${ip}:${PORTS.call}`,
      controlAddress: `${ip}:${PORTS.control}`,
      backendAddress: `${ip}:${PORTS.backend}`,
      settingsFile: join(directory, `${ip}.settings.json`),
      behaviourFile: join(directory, `${ip}.behaviour.json`),
    };
    writeJson(deployed.settingsFile, {
      callAddress: deployed.callAddress,
      controlAddress: deployed.controlAddress,
      peerAddress: `${ip}:${PORTS.peer}`,
      dataCentre,
      region: deployment.region,
      peerKeys: [peerKey],
      seeds,
      storeUrl: `http://${deployment.platformAddress}`,
      operatorTokens: [
        { name: "demo", role: "operator", sha256: operatorTokenHash },
      ],
      logLevel: "warn",
    });
    const behaviour: BackendDescription = {
      service: service.service,
      listen: deployed.backendAddress,
      node: deployed.callAddress,
      dataCentre,
      slots: service.slots,
      connectionLimit: service.connectionLimit,
      seed: index + 1,
      requests: [...service.requests],
    };
    writeJson(deployed.behaviourFile, behaviour);
    return deployed;
  });
}

function writeJson(path: string, value: unknown): void {
  writeFileSync(path, JSON.stringify(value, undefined, 2) + "\n");
}
