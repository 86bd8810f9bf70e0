/** Parsing of submitted documents: as JSON first, then validation against a schema; errors list every fault. */

import { getErrorMessage } from "@anvilmux/common";
import type { z } from "zod";
import { ManifestError } from "./errors";
import type { ManifestFault } from "./errors";

const escapePointerToken = (token: string): string => token.replaceAll("~", "~0").replaceAll("/", "~1");

/** Converts schema issues to faults, with their paths as JSON pointers. */
export const toFaults = (error: z.ZodError): readonly ManifestFault[] =>
    error.issues.map(issue => ({
        pointer: issue.path.map(part => `/${escapePointerToken(String(part))}`).join(""),
        reason: issue.message,
    }));

/** Throws `ManifestError` with `code` when the text is not valid JSON. */
export const parseDocument = (text: string, code: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch (error) {
        throw new ManifestError(code, [{ pointer: "", reason: getErrorMessage(error) }], error);
    }
};

/** Throws `ManifestError` with `code`, listing every fault. */
export const checkDocument = <Schema extends z.ZodType>(
    document: unknown,
    schema: Schema,
    code: string,
): z.infer<Schema> => {
    const result = schema.safeParse(document);
    if (!result.success) {
        throw new ManifestError(code, toFaults(result.error));
    }
    return result.data;
};
