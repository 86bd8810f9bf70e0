/** `anvilmux manifest ...`: check, sign, submit and show manifests. */

import { getManifestJsonSchema, newSigningKeyPair, signManifest } from "@anvilmux/manifest";
import { writeFileSync } from "node:fs";
import type { Sade } from "sade";
import { exitCodes } from "../exitCodes";
import { CommandError, print, sendOperatorRequest, toColumns } from "../operatorClient";
import type { ConnectionFlags } from "../operatorClient";
import { readText } from "../readText";
import { addConnectionFlags } from "./addConnectionFlags";
import { registerManifestCheck } from "./manifestCheck";

export const registerManifest = (program: Sade): void => {
    registerManifestCheck(program);
    program.command("manifest schema")
        .describe("Print the JSON Schema of manifests")
        .action(() => process.stdout.write(JSON.stringify(getManifestJsonSchema(), undefined, 4) + "\n"));
    program.command("manifest keygen <name>")
        .describe("Write a new signing key pair to NAME.private.pem and NAME.public.pem")
        .action(writeKeyPair);
    program.command("manifest sign <file>")
        .describe("Sign a manifest; the envelope goes to standard output")
        .option("--key", "File with the Ed25519 private key")
        .option("--key-id", "Id under which instances trust the key")
        .action(signFile);
    addConnectionFlags(program.command("manifest submit <file>").describe("Submit a signed envelope")).action(submit);
    addConnectionFlags(program.command("manifest show").describe("Show the manifest in force")).action(show);
    addConnectionFlags(program.command("manifest history").describe("List accepted manifests")).action(history);
};

const writeKeyPair = (name: string): void => {
    const keys = newSigningKeyPair();
    writeFileSync(`${name}.private.pem`, keys.privateKeyPem, { mode: 0o600, flag: "wx" });
    writeFileSync(`${name}.public.pem`, keys.publicKeyPem, { flag: "wx" });
    process.stdout.write(`${name}.private.pem\n${name}.public.pem\n`);
};

const signFile = (file: string, flags: { readonly key?: string; readonly "key-id"?: string; }): void => {
    const keyId = flags["key-id"];
    if (!flags.key || !keyId) {
        throw new CommandError("--key FILE and --key-id ID must be given", exitCodes.usage);
    }
    process.stdout.write(signManifest(readText(file), keyId, readText(flags.key)) + "\n");
};

const submit = async (file: string, flags: ConnectionFlags): Promise<void> => {
    const result = await sendOperatorRequest(flags, "POST", "/v1/manifests", readText(file)) as {
        readonly index: number;
    };
    print(flags, result, [`accepted at index ${result.index}`]);
};

const show = async (flags: ConnectionFlags): Promise<void> => {
    const document = await sendOperatorRequest(flags, "GET", "/v1/manifests/current");
    print(flags, document, [JSON.stringify(document, undefined, 4)]);
};

const history = async (flags: ConnectionFlags): Promise<void> => {
    const entries = await sendOperatorRequest(flags, "GET", "/v1/manifests/history") as readonly {
        readonly index: number;
        readonly version: number;
        readonly digest: string;
    }[];
    const rows = entries.map(entry => [String(entry.index), String(entry.version), entry.digest.slice(0, 16)]);
    print(flags, entries, toColumns([["INDEX", "VERSION", "DIGEST"], ...rows]));
};
