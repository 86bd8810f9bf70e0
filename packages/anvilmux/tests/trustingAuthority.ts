/** A manifest authority for tests that accepts unsigned manifests and activates the highest version. */

import { decideByHighestVersion, parseManifest } from "@anvilmux/manifest";
import type { ManifestAuthority, ParsedManifest } from "@anvilmux/manifest";

const read = (text: string): ParsedManifest => ({ manifest: parseManifest(text), digest: text });

export const trustingAuthority: ManifestAuthority = {
    verify: read,
    verifyReceived: read,
    read,
    decideUpdate: decideByHighestVersion,
};
