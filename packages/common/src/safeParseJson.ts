/** Parsing JSON that may be malformed. */

/** The parsed value; undefined when `text` is not valid JSON. */
export const safeParseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
};
