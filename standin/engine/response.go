package engine

import (
	"time"

	api "peridotchute.example/engine"
)

// response is a completion or one chunk of a streamed completion, in the
// OpenAI format.
type response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (c *completion) newResponse(object string, ch choice) response {
	return response{
		ID:      "cmpl-" + c.id,
		Object:  object,
		Created: time.Now().Unix(),
		Model:   c.artifact.Name,
		Choices: []choice{ch},
	}
}

func (c *completion) streamChunk(text, finish string) response {
	var ch choice
	if finish != "" {
		ch.FinishReason = &finish
	}
	if c.chat {
		ch.Delta = &message{Role: "assistant", Content: text}
		return c.newResponse("chat.completion.chunk", ch)
	}
	ch.Text = &text
	return c.newResponse("text_completion", ch)
}

func (c *completion) fullResponse(text string) response {
	finish := "length"
	ch := choice{FinishReason: &finish}
	object := "text_completion"
	if c.chat {
		object = "chat.completion"
		ch.Message = &message{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	a := c.newResponse(object, ch)
	prompt := len(c.prompt) / api.BytesPerToken
	a.Usage = &usage{PromptTokens: prompt, CompletionTokens: c.tokens, TotalTokens: prompt + c.tokens}
	return a
}
