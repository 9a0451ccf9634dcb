package org.anvillatch.node.peer;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;

/**
 * Decodes the name of a team. Records of earlier versions have a boolean in its place, the derived property that the
 * mapper appends to the components. Stateless and thread safe.
 */
final class TeamNameDeserializer extends StdDeserializer<String> {
    private static final long serialVersionUID = 1L;

    TeamNameDeserializer() {
        super(String.class);
    }

    @Override
    public String deserialize(JsonParser parser, DeserializationContext context) throws IOException {
        return parser.currentToken() == JsonToken.VALUE_STRING ? parser.getText() : "";
    }
}
