package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/bergamotgrade/bergamotgrade"
)

var _ bergamotgrade.EngineOrders = (*Client)(nil)

// EngineState implements bergamotgrade.EngineOrders.
func (c *Client) EngineState(ctx context.Context, server bergamotgrade.BackendServer) (bergamotgrade.EngineState, error) {
	return c.orders(ctx, server, http.MethodGet, nil)
}

// Order implements bergamotgrade.EngineOrders over a new connection, so that it
// is sent once.
func (c *Client) Order(ctx context.Context, server bergamotgrade.BackendServer, order bergamotgrade.EngineOrder) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	_, err = c.orders(ctx, server, http.MethodPost, body)
	return err
}

func (c *Client) orders(ctx context.Context, server bergamotgrade.BackendServer, method string, body []byte) (bergamotgrade.EngineState, error) {
	var state bergamotgrade.EngineState
	req, err := http.NewRequestWithContext(ctx, method, "http://"+server.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return state, err
	}
	res, err := c.host(server.Address).single.RoundTrip(req)
	if err != nil {
		return state, err
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
		err = json.NewDecoder(io.LimitReader(res.Body, maxEventBytes)).Decode(&state)
	case http.StatusConflict:
		err = bergamotgrade.NewError(bergamotgrade.KindConflict, "the engine has a newer order-giver", "leave the orders to it")
	default:
		err = fmt.Errorf("the engine answered %s", res.Status)
	}
	return state, err
}
